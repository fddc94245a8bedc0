//! Stand-in for a model engine: streams completions, which a client can resume and cancel.

use std::io::Write;
use std::thread;

use tiny_http::Request;
use wasabipier_wire::target::{
    CompletionCall, CompletionChoice, CompletionChunk, LOAD_ORDERS_PATH, STATE_PATH, STREAM_END, WireUsage,
};

use crate::faults::FaultSwitch;
use crate::link::FaultyLink;
use crate::orders::LoadOrders;
use crate::server::{FakeHandler, read_json, reply};
use crate::target::{TargetSettings, TargetState};

/// Handler of a model engine: answers requests for completions and for the load, and load orders.
#[derive(Debug)]
pub struct FakeEngine {
    /// Load, faults and counters of the engine.
    pub state: TargetState,
    /// Loaded model and load orders.
    pub orders: LoadOrders,
}

/// Texts from which the tokens of answers are taken.
const TOKEN_TEXTS: [&str; 8] = ["net ", "lane ", "coach ", "season ", "over ", "bat ", "dusk ", "plan "];

/// Returns the token at position `index` of the answer to `prompt`.
///
/// All engines return the same token, so that a stream can be resumed at another engine.
#[must_use]
pub fn token(prompt: &str, index: u32) -> String {
    let prompt_sum: u64 = prompt.bytes().map(u64::from).sum();
    let text = TOKEN_TEXTS[((prompt_sum + u64::from(index) * 5) % TOKEN_TEXTS.len() as u64) as usize];
    text.to_owned()
}

impl FakeEngine {
    /// Creates a cold engine that has received no order.
    #[must_use]
    pub fn new(settings: TargetSettings, link: FaultyLink) -> Self {
        Self { state: TargetState::new(settings, link), orders: LoadOrders::default() }
    }

    /// Streams the answer from token `resume_from` on, and ends with a final chunk that has the usage and load. Crashes
    /// the engine in the middle if a fault says so.
    fn send_stream(&self, request: Request, call: &CompletionCall) -> std::io::Result<()> {
        self.state.record_run(&request);
        let mut writer = request.into_writer();
        writer
            .write_all(b"HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n")?;
        let break_after = self.state.faults.take_stream_break();
        for index in call.resume_from..self.state.settings.tokens {
            thread::sleep(self.state.current_work_duration());
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
        let final_chunk = CompletionChunk { choices: vec![choice], usage: Some(usage), load: Some(self.state.load()) };
        write_event(&mut writer, &final_chunk)?;
        write_chunk(&mut writer, &format!("data: {STREAM_END}\n\n"))?;
        writer.write_all(b"0\r\n\r\n")?;
        writer.flush()
    }
}

/// Writes a server-sent event with a JSON body.
fn write_event(writer: &mut impl Write, chunk: &CompletionChunk) -> std::io::Result<()> {
    let json = serde_json::to_string(chunk)?;
    write_chunk(writer, &format!("data: {json}\n\n"))
}

/// Writes one chunk of a chunked response and flushes it.
fn write_chunk(writer: &mut impl Write, text: &str) -> std::io::Result<()> {
    write!(writer, "{:x}\r\n{text}\r\n", text.len())?;
    writer.flush()
}

impl FakeHandler for FakeEngine {
    fn handle(&self, mut request: Request) {
        match request.url() {
            "/v1/load" => return reply(request, 200, &self.state.load()),
            STATE_PATH => return self.orders.reply_loaded(request),
            LOAD_ORDERS_PATH => return self.orders.handle_order(request),
            _ => {}
        }
        let call: CompletionCall = match read_json(&mut request) {
            Ok(call) => call,
            Err(error) => return reply(request, 400, &serde_json::json!({ "error": error })),
        };
        let Some(request) = self.state.begin_call(request, &call.prompt) else { return };
        // A node cancels a stream by closing the connection. The write then fails, which ends the stream as intended.
        let _ = self.send_stream(request, &call);
        self.state.end_call();
    }

    fn stats(&self) -> serde_json::Value {
        self.state.stats()
    }

    fn faults(&self) -> &FaultSwitch {
        &self.state.faults
    }
}
