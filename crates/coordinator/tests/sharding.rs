//! How the fleet and the slots of a wave are divided among shards.

use coordinator::sharding::Layout;
use coordinator::sharding::wave_slots;
use rstest::rstest;
use scheduler::HostEntry;
use scheduler::HostName;
use scheduler::HostState;
use scheduler::JobRecord;
use scheduler::ShardIndex;
use scheduler::Step;

const HOSTS_PER_SHARD: usize = 240;

/// Returns hosts of five pools, as many as given in each.
fn fleet(counts: &[usize]) -> Vec<HostEntry> {
    let pools = counts.iter().enumerate();
    let of_pool = |(pool, count): (usize, &usize)| {
        (0..*count).map(move |number| HostEntry {
            name: format!("h-{pool}-{number:05}").as_str().into(),
            pool: format!("p{pool}").as_str().into(),
            state: HostState::Up,
            worker: None,
        })
    };
    pools.flat_map(of_pool).collect()
}

fn record(queue: &str, number: u64, is_long_running: bool) -> JobRecord {
    JobRecord {
        id: format!("{number:016x}").as_str().into(),
        queue: queue.into(),
        steps: vec![Step { count: 1, is_long_running, ..Step::default() }],
        ..JobRecord::default()
    }
}

#[rstest]
#[case::small(&[9, 9, 11, 12, 8], 1)]
#[case::medium(&[62, 70, 77, 85, 56], 1)]
#[case::large(&[195, 219, 243, 266, 177], 5)]
#[case::very_large(&[2_130, 2_390, 2_650, 2_900, 1_930], 50)]
#[case::no_hosts(&[], 1)]
fn the_number_of_shards_follows_the_number_of_hosts(
    #[case] counts: &[usize],
    #[case] shard_count: usize,
) {
    let hosts = fleet(counts);
    assert_eq!(Layout::new(&hosts, HOSTS_PER_SHARD).shard_count, shard_count);
}

#[test]
fn each_shard_gets_an_equal_part_of_each_pool() {
    let counts = [195, 219, 243, 266, 177];
    let layout = Layout::new(&fleet(&counts), HOSTS_PER_SHARD);
    for (pool, count) in counts.iter().enumerate() {
        let names: Vec<HostName> =
            (0..*count).map(|number| format!("h-{pool}-{number:05}").as_str().into()).collect();
        for hosts in layout.hosts_by_shard(&names) {
            assert!(hosts.abs_diff(count / layout.shard_count) <= 1, "{hosts} of {count}");
        }
    }
}

#[test]
fn jobs_and_new_hosts_are_spread_over_all_shards() {
    let layout = Layout::new(&fleet(&[195, 219, 243, 266, 177]), HOSTS_PER_SHARD);
    let mut jobs = vec![0; layout.shard_count];
    for number in 0..6_000_u64 {
        jobs[usize::from(layout.shard_of_job(&record("q", number, false)))] += 1;
    }
    assert!(jobs.iter().all(|count| (1_050..1_350).contains(count)), "{jobs:?}");
    let new_hosts: Vec<HostName> =
        (0..600).map(|number| format!("new-{number}").as_str().into()).collect();
    let hosts = layout.hosts_by_shard(&new_hosts);
    assert!(hosts.iter().all(|count| (80..160).contains(count)), "{hosts:?}");
}

#[test]
fn long_running_jobs_of_a_queue_share_a_shard_and_every_job_is_found_by_queue_and_id() {
    let layout = Layout::new(&fleet(&[195, 219, 243, 266, 177]), HOSTS_PER_SHARD);
    let first = layout.shard_of_job(&record("q", 0, true));
    for number in 0..100 {
        assert_eq!(layout.shard_of_job(&record("q", number, true)), first);
        for is_long_running in [true, false] {
            let record = record("q", number, is_long_running);
            let candidates = layout.shards_of_job("q", &record.id);
            assert!(candidates.contains(&layout.shard_of_job(&record)));
        }
    }
}

#[test]
fn a_single_shard_has_everything() {
    let layout = Layout::new(&fleet(&[9, 8]), HOSTS_PER_SHARD);
    let shard = layout.shard_of_job(&record("q", 7, false));
    assert_eq!((shard, layout.shard_of_host("any")), (0, 0));
    assert_eq!(layout.shards_of_job("q", "any"), [0]);
    assert_eq!(wave_slots(&[17], 3, &[]), [3]);
}

#[rstest]
#[case::in_proportion(&[80, 40, 40], 16, &[], &[8, 4, 4])]
#[case::one_each_first(&[80, 1, 1], 4, &[], &[2, 1, 1])]
#[case::fewer_slots_than_shards(&[5, 5, 5], 2, &[], &[1, 1, 0])]
#[case::no_hosts_no_slots(&[0, 5], 3, &[], &[0, 3])]
#[case::passed_on(&[5, 5, 5], 2, &[0], &[0, 1, 1])]
#[case::all_done(&[5, 5], 2, &[1, 0], &[0, 0])]
fn slots_are_divided_by_hosts(
    #[case] hosts: &[usize],
    #[case] slot_count: usize,
    #[case] done: &[ShardIndex],
    #[case] expected: &[usize],
) {
    assert_eq!(wave_slots(hosts, slot_count, done), expected);
}

/// Owners learn at different times which shards are done, so that each uses the slots of another
/// beginning of the list.
#[test]
fn owners_that_know_different_shards_as_done_keep_to_the_limit_together() {
    let hosts = [7, 0, 3, 12, 1];
    for slot_count in 1..=9 {
        for done in [[3, 0, 2, 4], [0, 2, 4, 3], [4, 3, 0, 2], [2, 4, 3, 0]] {
            for known in 0..6_usize.pow(5) {
                let mut total = 0;
                for shard in 0..5 {
                    let known = (known / 6_usize.pow(shard as u32) % 6).min(done.len());
                    let own = done.iter().position(|done| usize::from(*done) == shard);
                    // A shard knows of itself that it is done, and of all shards before it.
                    let known = known.max(own.map_or(0, |own| own + 1));
                    total += wave_slots(&hosts, slot_count, &done[..known])[shard];
                }
                assert!(total <= slot_count, "{total} of {slot_count}: {done:?} {known}");
            }
        }
    }
}
