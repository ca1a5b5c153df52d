//! Prints results as a table or as JSON.

use serde::Serialize;

/// Prints `value` as JSON.
pub fn print_json(value: &impl Serialize) {
    let text = serde_json::to_string_pretty(value).expect("views have string keys only");
    println!("{text}");
}

/// Prints rows below a header, in columns as wide as their widest cell.
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
    println!("{}", padded.join("  ").trim_end());
}
