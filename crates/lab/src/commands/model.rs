//! `model`: explores the specifications of the core protocols.

#[cfg(test)]
mod tests;

use getopts::Options;
use quillhatch_model::{Exploration, ModelInfo, Trace};
use rayon::prelude::*;

use crate::batch;
use crate::command_line::{Arguments, Command, CommandError, Verdict};
use crate::table::Table;

/// Explorations keep all their states in memory, so that few run side by side.
const DEFAULT_JOBS: usize = 4;

/// Explores models and their mutations.
pub struct Model;

/// One exploration to carry out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Task {
    model: &'static str,
    mutation: Option<&'static str>,
}

/// What became of a task.
struct Finding {
    task: Task,
    exploration: Exploration,
}

impl Command for Model {
    fn name(&self) -> &'static str {
        "model"
    }

    fn summary(&self) -> &'static str {
        "explore the specifications of the core protocols exhaustively"
    }

    fn operands(&self) -> &'static str {
        "[NAME] [--mutate MUTATION] | --list | --all"
    }

    fn declare(&self, options: &mut Options) {
        options.optflag("", "list", "list models, properties and mutations");
        options.optflag("", "all", "explore every model, plainly (must hold) and with every mutation (must be caught)");
        options.optopt("", "mutate", "take this check out of the model", "MUTATION");
        options.optopt("", "jobs", "explorations side by side (default 4)", "N");
    }

    fn run(&self, arguments: &Arguments) -> Result<Verdict, CommandError> {
        let models = quillhatch_model::list();
        arguments.limit_operands(1);
        let jobs = arguments.value("jobs", DEFAULT_JOBS);
        let chosen = chosen_model(arguments, &models);
        let mutation = chosen_mutation(arguments, chosen);
        if arguments.has("all") && (chosen.is_some() || arguments.has("mutate")) {
            arguments.reject("--all", "goes neither with a model's name nor with --mutate");
        }
        arguments.check()?;
        if arguments.has("list") {
            print!("{}", render_list(&models));
            return Ok(Verdict::Holds);
        }
        let tasks = if arguments.has("all") { all_tasks(&models) } else { plain_tasks(&models, chosen, mutation) };
        let findings = explore(&batch::thread_pool(jobs)?, &tasks);
        print!("{}", render_findings(&findings, arguments.has("all")));
        let holds = if arguments.has("all") { as_expected } else { without_violation };
        Ok(Verdict::of(findings.iter().all(holds)))
    }
}

fn chosen_model<'a>(arguments: &Arguments, models: &'a [ModelInfo]) -> Option<&'a ModelInfo> {
    let name = arguments.operands().first()?;
    let found = models.iter().find(|model| model.name == name);
    if found.is_none() {
        let known: Vec<&str> = models.iter().map(|model| model.name).collect();
        arguments.reject(name, format!("no such model; known are {}", known.join(", ")));
    }
    found
}

fn chosen_mutation(arguments: &Arguments, model: Option<&ModelInfo>) -> Option<&'static str> {
    let name = arguments.text("mutate")?;
    let Some(model) = model else {
        arguments.reject("--mutate", "needs a model's name");
        return None;
    };
    let found = model.mutations.iter().copied().find(|mutation| *mutation == name);
    if found.is_none() {
        arguments.reject("--mutate", format!("no such mutation; known are {}", model.mutations.join(", ")));
    }
    found
}

fn plain_tasks(models: &[ModelInfo], chosen: Option<&ModelInfo>, mutation: Option<&'static str>) -> Vec<Task> {
    match chosen {
        Some(model) => vec![Task { model: model.name, mutation }],
        None => models.iter().map(|model| Task { model: model.name, mutation: None }).collect(),
    }
}

fn all_tasks(models: &[ModelInfo]) -> Vec<Task> {
    let with_mutations = |model: &ModelInfo| -> Vec<Task> {
        let mutations = model.mutations.iter().map(|mutation| Some(*mutation));
        std::iter::once(None).chain(mutations).map(|mutation| Task { model: model.name, mutation }).collect()
    };
    models.iter().flat_map(with_mutations).collect()
}

fn explore(pool: &rayon::ThreadPool, tasks: &[Task]) -> Vec<Finding> {
    let run = |task: &Task| {
        let exploration = quillhatch_model::run(task.model, task.mutation).ok()?;
        Some(Finding { task: *task, exploration })
    };
    // Names were checked against the list, so that no task is left out.
    pool.install(|| tasks.par_iter().filter_map(run).collect())
}

fn without_violation(finding: &Finding) -> bool {
    finding.exploration.violation.is_none()
}

/// A plain model holds; a mutated one is caught.
fn as_expected(finding: &Finding) -> bool {
    without_violation(finding) == finding.task.mutation.is_none()
}

fn render_list(models: &[ModelInfo]) -> String {
    let mut text = String::new();
    for model in models {
        text.push_str(&format!("{}\n  {}\n", model.name, model.description));
        let properties: Vec<&str> = model.properties.iter().map(|property| property.0).collect();
        text.push_str(&format!("  properties: {}\n", properties.join("; ")));
        text.push_str(&format!("  mutations: {}\n", model.mutations.join(", ")));
    }
    text
}

fn render_findings(findings: &[Finding], traces_are_expected: bool) -> String {
    let mut table = Table::new(&["model", "mutation", "states", "depth", "explored", "result"]);
    for finding in findings {
        let exploration = &finding.exploration;
        let result = match (&exploration.violation, finding.task.mutation) {
            (Some(trace), _) => format!("{} violated after {} steps", trace.property, trace.steps.len()),
            (None, None) => "holds".to_owned(),
            (None, Some(_)) => "not caught".to_owned(),
        };
        table.push(vec![
            finding.task.model.to_owned(),
            finding.task.mutation.unwrap_or("-").to_owned(),
            exploration.states.to_string(),
            exploration.depth.to_string(),
            explored(exploration).to_owned(),
            result,
        ]);
    }
    let mut text = table.to_text() + "\n";
    let wanted = |finding: &&Finding| !traces_are_expected || finding.task.mutation.is_none();
    for finding in findings.iter().filter(wanted) {
        if let Some(trace) = &finding.exploration.violation {
            text.push_str(&render_trace(finding.task, trace));
        }
    }
    text
}

fn explored(exploration: &Exploration) -> &'static str {
    match (&exploration.violation, exploration.complete) {
        (Some(_), _) => "up to the violation",
        (None, true) => "all states",
        (None, false) => "up to the bound",
    }
}

fn render_trace(task: Task, trace: &Trace) -> String {
    let mutation = task.mutation.map_or_else(String::new, |mutation| format!(" with {mutation} taken out"));
    let mut text = format!("\n{}{mutation}: {} is violated:\n", task.model, trace.property);
    for (number, step) in trace.steps.iter().enumerate() {
        text.push_str(&format!("  {:3}. {step}\n", number + 1));
    }
    text
}
