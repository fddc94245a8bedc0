//! Writes to standard output. If the output cannot be written, the program exits with code 0, whatever the error is.
//! The usual cause is a reader that has closed the pipe, such as `head`.

use std::fmt::Arguments;
use std::io::{self, Write};
use std::process;

/// Prints one formatted line on standard output and flushes it.
macro_rules! print_line {
    ($($arg:tt)*) => {
        $crate::output::print(format_args!("{}\n", format_args!($($arg)*)))
    };
}

pub(crate) use print_line;

/// Prints formatted text on standard output and flushes it. Exits with code 0 if the text cannot be written.
pub fn print(text: Arguments<'_>) {
    let mut output = io::stdout().lock();
    if output.write_fmt(text).and_then(|()| output.flush()).is_err() {
        // The usual cause is a reader that has closed the pipe, so that further output has no use.
        process::exit(0);
    }
}
