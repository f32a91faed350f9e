//! Plain-text tables for terminal output.

/// Table with a header row and left-aligned columns.
#[derive(Debug)]
pub struct Table {
    /// Invariant: the first row is the header, and all rows have its length.
    rows: Vec<Vec<String>>,
}

impl Table {
    /// Creates a table with the given column names.
    pub fn new<const N: usize>(header: [&str; N]) -> Table {
        Table {
            rows: vec![header.map(str::to_owned).to_vec()],
        }
    }

    /// Appends a row; it must have as many cells as the header.
    pub fn row<const N: usize>(&mut self, cells: [String; N]) {
        self.rows.push(cells.to_vec());
    }

    /// Prints the table to standard output, or nothing if it has only a header.
    pub fn print(&self) {
        if self.rows.len() < 2 {
            return;
        }
        let columns = self.rows[0].len();
        let width = |column: usize| self.rows.iter().map(|r| r[column].chars().count()).max();
        let widths: Vec<usize> = (0..columns)
            .map(|column| width(column).unwrap_or(0))
            .collect();
        for row in &self.rows {
            let cells = row.iter().zip(&widths);
            let cells: Vec<String> = cells.map(|(c, width)| format!("{c:width$}")).collect();
            println!("{}", cells.join("  ").trim_end());
        }
    }
}

/// Formats `value` as text, or as a dash if it is `None`.
pub fn or_dash(value: Option<impl ToString>) -> String {
    value.map_or_else(|| "-".to_owned(), |v| v.to_string())
}
