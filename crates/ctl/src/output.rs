//! Standard output: a reader that goes away, such as `head`, ends the program quietly.

use std::fmt::Arguments;
use std::io::{self, Write};
use std::process;

/// Prints a line.
macro_rules! say {
    ($($arg:tt)*) => {
        $crate::output::write(format_args!("{}\n", format_args!($($arg)*)))
    };
}

pub(crate) use say;

/// Writes a text at once.
pub fn write(text: Arguments<'_>) {
    let mut output = io::stdout().lock();
    if output.write_fmt(text).and_then(|()| output.flush()).is_err() {
        // Nobody reads the rest.
        process::exit(0);
    }
}
