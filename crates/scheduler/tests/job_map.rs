//! The map of jobs finds each job, whatever ids have in common.

use std::sync::Arc;

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use scheduler::JobId;
use scheduler::JobMap;
use scheduler::SortedMap;

/// Returns an id of up to 12 characters, often one that begins like others.
fn random_id(random: &mut StdRng) -> JobId {
    let length = random.random_range(0..12);
    (0..length).map(|_| if random.random_bool(0.9) { 'a' } else { 'b' }).collect::<String>().into()
}

/// Guards against ids whose first bytes are the same, or that begin another id, being mixed up.
#[test]
fn it_behaves_like_a_sorted_map_for_ids_that_begin_alike() {
    let mut random = StdRng::seed_from_u64(7);
    let mut map = JobMap::default();
    let mut expected: SortedMap<JobId, u32> = SortedMap::default();
    for value in 0..20_000_u32 {
        let id = random_id(&mut random);
        if random.random_bool(0.5) {
            assert_eq!(map.insert(id.clone(), value), expected.insert(id, value));
        } else {
            assert_eq!(map.remove(&id), expected.remove(&id));
        }
        let id = random_id(&mut random);
        assert_eq!(map.get(&id), expected.get(&id));
        assert_eq!(map.len(), expected.len());
    }
    let entries: Vec<(Arc<str>, u32)> =
        map.iter().map(|(id, value)| (id.clone(), *value)).collect();
    let expected: Vec<(Arc<str>, u32)> =
        expected.iter().map(|(id, value)| (id.clone(), *value)).collect();
    assert_eq!(entries, expected);
}
