//! Stand-in for a model engine: streams that resume and cancel.

use std::io::Write;
use std::thread;

use tiny_http::Request;
use wasabipier_wire::target::{
    CompletionCall, CompletionChoice, CompletionChunk, ORDERS_PATH, STATE_PATH, STREAM_END, WireUsage,
};

use crate::faults::FaultSwitch;
use crate::link::FaultyLink;
use crate::orders::OrderBook;
use crate::server::{FakeHandler, read_json, reply};
use crate::target::{TargetSettings, TargetState};

/// A model engine.
#[derive(Debug)]
pub struct FakeEngine {
    /// Its state.
    pub state: TargetState,
    /// Its orders.
    pub orders: OrderBook,
}

/// Words that answers are made of.
const WORDS: [&str; 8] = ["net ", "lane ", "coach ", "season ", "over ", "bat ", "dusk ", "plan "];

/// The token at a position: the same at every engine, so that a stream can be resumed elsewhere.
#[must_use]
pub fn token(prompt: &str, index: u32) -> String {
    let sum: u64 = prompt.bytes().map(u64::from).sum();
    let word = WORDS[((sum + u64::from(index) * 5) % WORDS.len() as u64) as usize];
    word.to_owned()
}

impl FakeEngine {
    /// A cold engine.
    #[must_use]
    pub fn new(settings: TargetSettings, link: FaultyLink) -> Self {
        Self { state: TargetState::new(settings, link), orders: OrderBook::default() }
    }

    fn stream(&self, request: Request, call: &CompletionCall) -> std::io::Result<()> {
        self.state.record_run(&request);
        let mut writer = request.into_writer();
        writer
            .write_all(b"HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n")?;
        let break_after = self.state.faults.take_break();
        for index in call.resume_from..self.state.settings.tokens {
            thread::sleep(self.state.work());
            if break_after > 0 && index >= break_after {
                self.state.crash();
                return Ok(());
            }
            let choice = CompletionChoice { token_index: index, text: token(&call.prompt, index), finish_reason: None };
            write_event(&mut writer, &CompletionChunk { choices: vec![choice], ..CompletionChunk::default() })?;
        }
        let choice = CompletionChoice {
            token_index: self.state.settings.tokens,
            text: String::new(),
            finish_reason: Some("stop".to_owned()),
        };
        let usage = WireUsage {
            prompt_tokens: call.prompt.len() as u64 / 4,
            completion_tokens: u64::from(self.state.settings.tokens.saturating_sub(call.resume_from)),
        };
        let last = CompletionChunk { choices: vec![choice], usage: Some(usage), load: Some(self.state.load()) };
        write_event(&mut writer, &last)?;
        write_chunk(&mut writer, &format!("data: {STREAM_END}\n\n"))?;
        writer.write_all(b"0\r\n\r\n")?;
        writer.flush()
    }
}

fn write_event(writer: &mut impl Write, chunk: &CompletionChunk) -> std::io::Result<()> {
    let json = serde_json::to_string(chunk)?;
    write_chunk(writer, &format!("data: {json}\n\n"))
}

fn write_chunk(writer: &mut impl Write, text: &str) -> std::io::Result<()> {
    write!(writer, "{:x}\r\n{text}\r\n", text.len())?;
    writer.flush()
}

impl FakeHandler for FakeEngine {
    fn handle(&self, mut request: Request) {
        match request.url() {
            "/v1/load" => return reply(request, 200, &self.state.load()),
            STATE_PATH => return self.orders.tell(request),
            ORDERS_PATH => return self.orders.take(request),
            _ => {}
        }
        let call: CompletionCall = match read_json(&mut request) {
            Ok(call) => call,
            Err(error) => return reply(request, 400, &serde_json::json!({ "error": error })),
        };
        let Some(request) = self.state.begin(request, &call.prompt) else { return };
        // A caller that hung up ends the stream: that is how it is cancelled.
        let _ = self.stream(request, &call);
        self.state.end();
    }

    fn stats(&self) -> serde_json::Value {
        self.state.stats()
    }

    fn faults(&self) -> &FaultSwitch {
        &self.state.faults
    }
}
