//! Callers' identities in figures, as tables in Markdown; `docs/capacity.md` has them with what they were taken on.

mod checks;
mod connections;
mod environment;
mod load;
mod revocation;
mod sizes;

/// Takes all measurements of identities.
pub fn all() -> Result<bool, String> {
    for measurement in
        [checks::checks, sizes::sizes, connections::connections, load::load, revocation::revocation]
    {
        println!("{}\n", measurement()?);
    }
    Ok(true)
}
