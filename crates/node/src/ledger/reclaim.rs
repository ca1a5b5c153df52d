//! Takes over what gone nodes held, on evidence.

use limits::Ledger;
use limits::View;
use platform::Unavailable;

use crate::shared::Shared;

/// Take-overs that this node has begun.
#[derive(Default)]
pub struct Reclaim {}

impl Reclaim {
    /// Goes one step on with the take-overs that this node has to do.
    pub async fn look(
        &mut self,
        _shared: &Shared,
        _ledger: &mut Ledger,
        _view: &View<'_>,
    ) -> Result<(), Unavailable> {
        Ok(())
    }
}
