//! Tests of the decisions for direct server return.

mod flows;
mod fresh_start;
mod freshness;
mod mass_restart;
mod restored_store;
mod rig;
mod server_loss;
mod shutdown;
mod source_path;
mod zone_cut;
