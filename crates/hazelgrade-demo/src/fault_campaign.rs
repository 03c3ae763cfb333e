//! A campaign: groups of nodes with faults between them, one drawn plan after the other, until the time is up. Whatever
//! breaks a rule is played again and shrunk to the least plan that still does.

use crate::SELF;
use crate::processes::{program, to_message};
use comfy_table::{Table, presets::ASCII_MARKDOWN};
use hazelgrade_fakes::callers::JobOutcome;
use hazelgrade_fault_injection::plan::FaultPlan;
use hazelgrade_fault_injection::plan_run::{PlanResult, run_plan};
use hazelgrade_fault_injection::shrink::shrink;
use pico_args::Arguments;
use std::collections::BTreeMap;
use std::ffi::OsString;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

/// Plans that are played to shrink one that failed, if the options don't say otherwise.
const TRIES: usize = 40;
const FAULTS: usize = 14;
const NODES: usize = 5;

/// Options of the sub-command.
struct Options {
    seed: u64,
    minutes: Option<f64>,
    nodes: usize,
    faults: usize,
    repeat: usize,
    /// Plans that are played to shrink one that failed; none prints the plan as it is.
    tries: usize,
    plan: Option<PathBuf>,
    /// Drains end by a kill, signals come in series, callers hear of drains late.
    soak: bool,
    /// Nodes share a budget of so many calls, kept at so many sites.
    shared: Option<(usize, u32)>,
}

fn parse_options(words: &[&str]) -> Result<Options, String> {
    let mut words = Arguments::from_vec(words.iter().map(OsString::from).collect());
    let sites: Option<usize> = words.opt_value_from_str("--sites").map_err(to_message)?;
    let whole: Option<u32> = words.opt_value_from_str("--whole").map_err(to_message)?;
    let options = Options {
        shared: sites.map(|sites| (sites.clamp(1, 2), whole.unwrap_or(10).clamp(2, 1000))),
        seed: words.opt_value_from_str("--seed").map_err(to_message)?.unwrap_or(1),
        minutes: words.opt_value_from_str("--minutes").map_err(to_message)?,
        nodes: words.opt_value_from_str("--nodes").map_err(to_message)?.unwrap_or(NODES),
        faults: words.opt_value_from_str("--faults").map_err(to_message)?.unwrap_or(FAULTS),
        repeat: words.opt_value_from_str("--repeat").map_err(to_message)?.unwrap_or(1),
        tries: words.opt_value_from_str("--tries").map_err(to_message)?.unwrap_or(TRIES),
        plan: words.opt_value_from_str("--plan").map_err(to_message)?,
        soak: words.contains("--soak"),
    };
    match words.finish().first() {
        Some(word) => Err(format!("trouble: {} is not known here", word.to_string_lossy())),
        None if options.nodes == 0 || options.nodes > 20 => Err("--nodes: expected 1 to 20".into()),
        None => Ok(options),
    }
}

impl Options {
    fn draw(&self, seed: u64) -> FaultPlan {
        if self.soak {
            return FaultPlan::draw_soak(seed, self.nodes, self.faults, self.shared);
        }
        match self.shared {
            Some((sites, total)) => FaultPlan::draw_shared(seed, self.nodes, self.faults, sites, total),
            None => FaultPlan::draw(seed, self.nodes, self.faults),
        }
    }
}

/// What all plans came to.
#[derive(Default)]
struct Summary {
    plans: usize,
    faults: usize,
    unmet: usize,
    jobs: BTreeMap<JobOutcome, usize>,
    failed: Vec<(u64, Vec<String>)>,
    /// From the start of each process until it answered a health check, in ms.
    start_times_ms: Vec<f64>,
}

impl Summary {
    fn add(&mut self, plan: &FaultPlan, played: &PlanResult) {
        self.plans += 1;
        self.faults += plan.steps.len();
        self.unmet += played.missed_triggers;
        for job in &played.history.jobs {
            *self.jobs.entry(job.outcome).or_default() += 1;
        }
        self.start_times_ms.extend(played.history.start_times.iter().map(|time| time.as_ms()));
        if !played.violations.is_empty() {
            self.failed.push((plan.seed, played.violations.iter().map(ToString::to_string).collect()));
        }
    }

    /// Prints how long processes that were started again took to answer a health check.
    fn print_start_times(&self) {
        let mut times = self.start_times_ms.clone();
        times.sort_by(f64::total_cmp);
        let quantile = |ratio: f64| times[((times.len() - 1) as f64 * ratio).round() as usize];
        if !times.is_empty() {
            println!(
                "{} starts, until a health check is answered: p50 {:.0} ms, p90 {:.0} ms, maximum {:.0} ms",
                times.len(),
                quantile(0.5),
                quantile(0.9),
                quantile(1.0)
            );
        }
    }

    /// Prints what all plans came to.
    fn print(&self, lasted: Duration) {
        let mut table = Table::new();
        table.load_style(ASCII_MARKDOWN);
        table.set_header([
            "plans",
            "steps",
            "cues unmet",
            "jobs",
            "satisfied",
            "bounced",
            "lost, excused or not",
            "crossed a close",
            "failed, late or other",
            "plans that broke a rule",
        ]);
        let count = |fate| self.jobs.get(&fate).copied().unwrap_or(0).to_string();
        let counted = [JobOutcome::Succeeded, JobOutcome::Rejected, JobOutcome::Lost, JobOutcome::Crossed];
        let others: usize =
            self.jobs.iter().filter(|(outcome, _)| !counted.contains(outcome)).map(|(_, jobs)| jobs).sum();
        table.add_row([
            self.plans.to_string(),
            self.faults.to_string(),
            self.unmet.to_string(),
            self.jobs.values().sum::<usize>().to_string(),
            count(JobOutcome::Succeeded),
            count(JobOutcome::Rejected),
            count(JobOutcome::Lost),
            count(JobOutcome::Crossed),
            others.to_string(),
            self.failed.len().to_string(),
        ]);
        println!("\n{table}\n");
        println!("{:.1} plans a minute", self.plans as f64 * 60.0 / lasted.as_secs_f64());
        self.print_start_times();
        for (seed, violations) in &self.failed {
            println!("seed {seed}: {}", violations.join("; "));
        }
        println!("rules: {}", if self.failed.is_empty() { "all kept" } else { "BROKEN" });
    }
}

fn once(plan: &FaultPlan) -> Result<PlanResult, String> {
    run_plan(plan, &program()?, &[SELF]).map_err(to_message)
}

/// Runs plans until the time is up; `true` if no rule was broken.
pub fn play(words: &[&str]) -> Result<bool, String> {
    let options = parse_options(words)?;
    let began = Instant::now();
    let duration = options.minutes.map(|minutes| Duration::from_secs_f64(minutes.clamp(0.0, 600.0) * 60.0));
    let given = options.plan.as_deref().map(read_plan).transpose()?;
    let mut summary = Summary::default();
    let mut seed = options.seed;
    loop {
        let plan = given.clone().unwrap_or_else(|| options.draw(seed));
        let plan_began = Instant::now();
        let played = once(&plan)?;
        summary.add(&plan, &played);
        println!(
            "{:>6.0} s  seed {:<8} {:>2} steps, {:>4} jobs, {:>5.1} s: {}",
            began.elapsed().as_secs_f64(),
            plan.seed,
            plan.steps.len(),
            played.history.jobs.len(),
            plan_began.elapsed().as_secs_f64(),
            if played.violations.is_empty() { "kept" } else { "BROKEN" }
        );
        if !played.violations.is_empty() {
            played.violations.iter().take(5).for_each(|violation| println!("         {violation}"));
            print_smallest(&plan, options.tries);
        }
        seed += 1;
        let time_is_up = duration.is_none_or(|duration| began.elapsed() >= duration);
        if time_is_up && summary.plans >= options.repeat {
            break;
        }
    }
    summary.print(began.elapsed());
    Ok(summary.failed.is_empty())
}

fn read_plan(path: &Path) -> Result<FaultPlan, String> {
    let shown = path.display();
    let text = std::fs::read_to_string(path).map_err(|error| format!("{shown}: {error}"))?;
    FaultPlan::read(&text).map_err(|error| format!("{shown}: {error}"))
}

/// Plays a plan that failed again, with fewer and fewer steps.
fn print_smallest(plan: &FaultPlan, tries: usize) {
    if tries == 0 {
        return println!("the plan, for --plan:\n\n{}", plan.to_toml());
    }
    println!("         shrinking, at most {tries} plans");
    let smallest = shrink(plan, tries, |plan| once(plan).is_ok_and(|played| !played.violations.is_empty()));
    if smallest.steps.len() < plan.steps.len() || once(plan).is_ok_and(|played| !played.violations.is_empty())
    {
        println!("the least plan that failed, for --plan:\n\n{}", smallest.to_toml());
    } else {
        println!("played again, it kept the rules; the whole plan, for --plan:\n\n{}", plan.to_toml());
    }
}
