//! Comparison of the policies with simple baselines, simulated in virtual time.
//!
//! `cargo bench --bench policy_compare` prints the median and the range of each
//! result over fixed seeds. The results are deterministic.

mod fairness;
mod fleet;
mod roles;
mod routing;
mod spending;

/// Seeds of each comparison.
const SEEDS: [u64; 5] = [11, 12, 13, 14, 15];

fn main() {
    // Cargo adds `--bench`; any other argument names one comparison.
    let selected = std::env::args()
        .skip(1)
        .find(|argument| !argument.starts_with('-'));
    let comparisons: [(&str, fn()); 4] = [
        ("routing", routing::compare),
        ("fairness", fairness::compare),
        ("roles", roles::compare),
        ("spending", spending::compare),
    ];
    for (name, compare) in comparisons {
        if selected.as_deref().is_none_or(|selected| selected == name) {
            compare();
        }
    }
}

/// Prints a result of a policy as median and range over the seeds.
fn print_row<F>(name: &str, unit: &str, run: F)
where
    F: FnMut(u64) -> f64,
{
    let mut results: Vec<f64> = SEEDS.into_iter().map(run).collect();
    results.sort_by(f64::total_cmp);
    let (low, median, high) = (results[0], results[2], results[4]);
    println!("  {name:<36} {median:8.3} {unit} ({low:.3} to {high:.3})");
}
