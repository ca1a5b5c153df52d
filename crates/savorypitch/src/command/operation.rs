//! `operation`: tells what became of a change whose outcome was unknown.

use control::OperationOutcome;

use crate::client::Client;
use crate::failure::Failure;
use crate::output::print_json;

/// Runs `operation`.
pub fn run(client: &Client, id: &str, json: bool) -> Result<(), Failure> {
    let resolved: OperationOutcome = client.post(&format!("/operations/{id}"), &())?;
    if json {
        print_json(&resolved);
        return Ok(());
    }
    match resolved {
        OperationOutcome::Active(version) => println!("in force since version {version}"),
        OperationOutcome::Never => {
            println!("not in force, and never will be; make the change again")
        }
    }
    Ok(())
}
