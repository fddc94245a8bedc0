use std::pin::Pin;
use std::task::{Context, Poll, Waker};

use tokio::io::{AsyncRead, ReadBuf, repeat};

use super::{BudgetedStream, MAX_STRETCH_BYTES};

/// Guards against timers that run late: interim responses without end were parsed for as long as there were bytes.
#[test]
fn a_stream_that_always_has_bytes_lets_other_tasks_run() {
    let mut stream = BudgetedStream::new(repeat(b'x'));
    let mut context = Context::from_waker(Waker::noop());
    let mut stretches = vec![0];

    for _ in 0..100 {
        let mut bytes = [0; 1_000];
        let mut buffer = ReadBuf::new(&mut bytes);
        match Pin::new(&mut stream).poll_read(&mut context, &mut buffer) {
            Poll::Ready(read) => {
                read.expect("the stream has no end");
                *stretches.last_mut().expect("it is not empty") += buffer.filled().len();
            }
            Poll::Pending => stretches.push(0),
        }
    }

    assert!(stretches.len() > 10, "{stretches:?}");
    assert!(stretches.iter().all(|bytes| *bytes < MAX_STRETCH_BYTES + 1_000), "{stretches:?}");
}
