//! Tables for people.

/// Rows under a heading, printed with aligned columns.
#[derive(Debug)]
pub struct Table {
    /// Invariant: every row has as many cells as the first, the heading.
    rows: Vec<Vec<String>>,
}

impl Table {
    /// Starts a table with the names of its columns.
    pub fn new<const N: usize>(heading: [&str; N]) -> Table {
        Table {
            rows: vec![heading.map(str::to_owned).to_vec()],
        }
    }

    /// Adds a row.
    pub fn row<const N: usize>(&mut self, cells: [String; N]) {
        self.rows.push(cells.to_vec());
    }

    /// Prints the table, or nothing if it has no rows but the heading.
    pub fn print(&self) {
        if self.rows.len() < 2 {
            return;
        }
        let columns = self.rows[0].len();
        let width = |at: usize| self.rows.iter().map(|r| r[at].chars().count()).max();
        let widths: Vec<usize> = (0..columns).map(|at| width(at).unwrap_or(0)).collect();
        for row in &self.rows {
            let cells = row.iter().zip(&widths);
            let cells: Vec<String> = cells.map(|(c, width)| format!("{c:width$}")).collect();
            println!("{}", cells.join("  ").trim_end());
        }
    }
}

/// Returns `value` as text, or a dash if there is none.
pub fn or_dash(value: Option<impl ToString>) -> String {
    value.map_or_else(|| "-".to_owned(), |v| v.to_string())
}
