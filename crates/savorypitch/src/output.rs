//! Prints results as text, tables or JSON to standard output.

use std::fmt;
use std::io;
use std::io::Write;
use std::process;

use serde::Serialize;

/// Prints a line. If the reader has closed the pipe, the process exits without an error.
pub fn print_line(text: fmt::Arguments<'_>) {
    let result = writeln!(io::stdout().lock(), "{text}");
    let Err(error) = result else {
        return;
    };
    if error.kind() == io::ErrorKind::BrokenPipe {
        process::exit(0);
    }
    eprintln!("error: cannot write the output: {error}");
    process::exit(1);
}

/// Prints `value` as indented JSON.
pub fn print_json(value: &impl Serialize) {
    let text = serde_json::to_string_pretty(value).expect("views have string keys only");
    print_line(format_args!("{text}"));
}

/// Prints rows below a header; each column is as wide as its widest cell.
pub fn print_table<const N: usize>(header: [&str; N], rows: &[[String; N]]) {
    let mut widths = header.map(str::len);
    for row in rows {
        for (width, cell) in widths.iter_mut().zip(row) {
            *width = (*width).max(cell.chars().count());
        }
    }
    print_row(&header.map(str::to_owned), &widths);
    for row in rows {
        print_row(row, &widths);
    }
}

fn print_row<const N: usize>(cells: &[String; N], widths: &[usize; N]) {
    let padded: Vec<String> =
        cells.iter().zip(widths).map(|(cell, width)| format!("{cell:width$}")).collect();
    print_line(format_args!("{}", padded.join("  ").trim_end()));
}
