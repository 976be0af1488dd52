//! Tests of the upper bound of what a fleet can complete.
use jayrack_testkit::{
    deployment::{DeploymentPlan, tugrug, turnio},
    load::ideal,
};
use rstest::rstest;

const SLOTS: u32 = 4;

fn usual_rates(deployment: &DeploymentPlan, factor: f64) -> Vec<f64> {
    let rate = ideal::usual_rate(deployment, SLOTS) * factor;
    deployment
        .kinds
        .iter()
        .map(|kind| rate * f64::from(kind.share_percent) / 100.0)
        .collect()
}

#[rstest]
#[case(turnio())]
#[case(tugrug())]
fn all_is_completed_below_capacity(#[case] deployment: DeploymentPlan) {
    let offered = usual_rates(&deployment, 0.99);

    let fractions = ideal::completable_fractions(&deployment, &offered, SLOTS);

    assert_eq!(fractions, [1.0, 1.0, 1.0]);
}

#[rstest]
#[case(turnio())]
#[case(tugrug())]
fn most_urgent_flood_leaves_reserved_shares_to_less_urgent_kinds(
    #[case] deployment: DeploymentPlan,
) {
    let mut offered = usual_rates(&deployment, 0.5);
    offered[0] = ideal::kind_rate(&deployment, &deployment.kinds[0], SLOTS) * 10.0;

    let fractions = ideal::completable_fractions(&deployment, &offered, SLOTS);

    assert!(fractions[0] < 0.1);
    assert!(fractions[1] > 0.0 && fractions[2] > 0.0);
}

#[rstest]
#[case(turnio())]
#[case(tugrug())]
fn least_urgent_flood_takes_nothing_from_the_most_urgent(#[case] deployment: DeploymentPlan) {
    let mut offered = usual_rates(&deployment, 0.5);
    offered[2] = ideal::kind_rate(&deployment, &deployment.kinds[2], SLOTS) * 10.0;

    let fractions = ideal::completable_fractions(&deployment, &offered, SLOTS);

    assert_eq!(fractions[0], 1.0);
}
