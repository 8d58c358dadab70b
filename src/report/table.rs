//! Rendering of burn reports as terminal tables.

use comfy_table::{CellAlignment, Table, presets::UTF8_FULL_CONDENSED};

use super::{BurnReport, BurnRow};

const MINUTE_S: u64 = 60;
const HOUR_S: u64 = 60 * MINUTE_S;

impl BurnReport {
    /// Renders the report as a terminal table.
    pub fn to_table(&self) -> String {
        let mut table = Table::new();
        table.load_style(UTF8_FULL_CONDENSED);
        table.set_header(self.header());
        for row in &self.rows {
            table.add_row(table_row(row));
        }
        for column in table.column_iter_mut().skip(2) {
            column.set_cell_alignment(CellAlignment::Right);
        }
        let objective = self.objective * 100.0;
        format!("{table}\nburn 1.0 spends exactly the budget of an objective of {objective:.1} %\n")
    }

    fn header(&self) -> Vec<String> {
        let mut header = vec!["service".to_owned(), "account".to_owned()];
        for window_s in &self.windows_s {
            let window = format_window(*window_s);
            header.push(format!("{window} requests"));
            header.push(format!("{window} good %"));
            header.push(format!("{window} burn"));
        }
        header
    }
}

/// Formats a window's length in the largest unit that divides it, such as `6h`.
pub(super) fn format_window(window_s: u64) -> String {
    if window_s.is_multiple_of(HOUR_S) {
        return format!("{}h", window_s / HOUR_S);
    }
    if window_s.is_multiple_of(MINUTE_S) {
        return format!("{}m", window_s / MINUTE_S);
    }
    format!("{window_s}s")
}

/// Formats the cells of a table row.
pub(super) fn table_row(row: &BurnRow) -> Vec<String> {
    let account = row.account.as_deref().unwrap_or("(all)");
    let mut cells = vec![row.service.to_string(), account.to_owned()];
    for window in &row.windows {
        cells.push(window.counts.total().to_string());
        cells.push(format!("{:.2}", window.good_share * 100.0));
        cells.push(format!("{:.2}", window.burn_rate));
    }
    cells
}
