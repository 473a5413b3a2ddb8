//! Groups form, gates join, and the slots are shared out.

mod network;

use network::Network;
use quillhatch_control::ControlMechanisms;

#[test]
fn two_sites_form_their_groups_and_share_out_the_slots() {
    let network = Network::settled(1, ControlMechanisms::default());
    assert_eq!(network.owned("old"), 16);
    assert_eq!(network.owned("new"), 0);
    assert_eq!(network.overlapping_owners, 0);
    assert_eq!(network.doubled_keys(), 0);
    assert!(network.runs_by_site[&network::fixtures::site("old")] > 0);
}
