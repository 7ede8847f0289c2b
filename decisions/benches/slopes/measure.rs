//! Measures time and memory.

use std::error::Error;
use std::time::Instant;

use hdrhistogram::Histogram;

/// Size in bytes of a page, the unit of `/proc/self/statm`.
const PAGE: u64 = 4096;

/// Returns the resident_bytes memory of this process in bytes.
pub(crate) fn resident_bytes() -> Result<u64, Box<dyn Error>> {
    let statm = std::fs::read_to_string("/proc/self/statm")?;
    let pages = statm.split(' ').nth(1).ok_or("statm has no second field")?;
    Ok(pages.parse::<u64>()? * PAGE)
}

/// Distribution of measured times in nanoseconds.
pub(crate) struct Times {
    histogram: Histogram<u64>,
}

impl Times {
    pub(crate) fn new() -> Result<Times, Box<dyn Error>> {
        let histogram = Histogram::new(3)?;
        Ok(Times { histogram })
    }

    /// Runs `work`, which consists of `steps` equal steps, and records the mean time of a step.
    pub(crate) fn time<T>(
        &mut self,
        steps: usize,
        work: impl FnOnce() -> T,
    ) -> Result<T, Box<dyn Error>> {
        let start = Instant::now();
        let result = work();
        let nanos = start.elapsed().as_nanos() / steps.max(1) as u128;
        self.histogram.record(nanos as u64)?;
        Ok(result)
    }

    /// Prints the median, the 99th percentile and the mean.
    pub(crate) fn print(&self, label: &str) {
        let h = &self.histogram;
        let (p50, p99) = (h.value_at_quantile(0.5), h.value_at_quantile(0.99));
        let (mean, samples) = (h.mean(), h.len());
        println!("{label}: p50 {p50} ns, p99 {p99} ns, mean {mean:.0} ns ({samples} samples)");
    }
}
