//! `operation`: resolves a change whose outcome was unknown.

use control::OperationOutcome;

use crate::client::Client;
use crate::failure::Failure;
use crate::output::print_json;

/// Runs `operation`. A change that is not active yet is prevented from ever becoming active.
pub fn run(client: &Client, id: &str, json: bool) -> Result<(), Failure> {
    let outcome: OperationOutcome = client.post(&format!("/operations/{id}"), &())?;
    if json {
        print_json(&outcome);
        return Ok(());
    }
    match outcome {
        OperationOutcome::Active(version) => println!("active since version {version}"),
        OperationOutcome::Never => {
            println!("not active, and it never will be; make the change again")
        }
    }
    Ok(())
}
