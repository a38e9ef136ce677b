//! Names, identifiers, units and refusal kinds shared by all crates of the workspace.
//!
//! Nothing here performs I/O or reads a clock.
#![deny(missing_docs, rust_2018_idioms)]
#![forbid(unsafe_code)]

mod advice;
mod digest;
mod hash;
mod ids;
mod names;
mod placement;
mod refusal;
mod stream;
mod units;
mod version;

pub use advice::{AdviceRecord, EndpointAdvice};
pub use digest::{DigestError, RequestDigest};
pub use hash::{rendezvous_score, stable_hash};
pub use ids::{Incarnation, OrderNumber, RequestId, RequestIdError, Revision, Term};
pub use names::{CustomerName, EndpointName, HallName, InstanceName, NameError, RegionName, ServiceName};
pub use placement::{HallLimit, HallMask, HallRegions, PlacementLimit, RegionLimit, MAX_HALLS};
pub use refusal::{Refusal, RefusalKind, RunState};
pub use stream::{StreamKey, StreamOrigin};
pub use units::{Cost, Moment, Weight};
pub use version::{SoftwareVersion, VersionLimit};
