//! Computes how many tokens of a limit each node should hold.

use crate::key::LimitKey;
use crate::row::Holder;

/// Smallest useful holding in tokens. The tokens of a small limit stay on few nodes.
const HOLDING_MIN: u32 = 2;
/// Weight of one token of demand, relative to the weight of 1 that each node has without demand.
const DEMAND_WEIGHT: u64 = 8;
/// Offset basis of the 64-bit FNV-1a hash.
const HASH_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
/// Prime of the 64-bit FNV-1a hash.
const HASH_PRIME: u64 = 0x0000_0100_0000_01b3;

/// Returns the number of tokens that each holder should have, in the order of `demands`.
///
/// The tokens are distributed in proportion to the demands, or evenly if there is no demand, and to
/// so few holders that a holding stays useful. The sum is `limit` unless there are no holders.
pub fn targets(key: &LimitKey, limit: u32, demands: &[(Holder, u32)]) -> Vec<u32> {
    let mut counts = vec![0; demands.len()];
    if demands.is_empty() {
        return counts;
    }
    let seed = key.to_string();
    let mut chosen: Vec<usize> = (0..demands.len()).collect();
    chosen.sort_by_key(|&index| {
        let (holder, count) = &demands[index];
        std::cmp::Reverse((*count, preference(&seed, holder)))
    });
    let holders_max = limit.div_ceil(HOLDING_MIN).max(1) as usize;
    chosen.truncate(holders_max);

    let weight = |index: usize| u64::from(demands[index].1) * DEMAND_WEIGHT + 1;
    let weights: u64 = chosen.iter().map(|&index| weight(index)).sum();
    let mut remainder = limit;
    for &index in &chosen {
        let part = (u64::from(limit) * weight(index) / weights) as u32;
        counts[index] = part;
        remainder -= part;
    }
    // The remainder of the integer divisions goes to the first holders, one token each.
    for &index in chosen.iter().cycle().take(remainder as usize) {
        counts[index] += 1;
    }
    counts
}

/// Returns the holder that distributes the free tokens of a limit.
///
/// All nodes that see the same members choose the same holder.
pub fn distributor<'a>(
    key: &LimitKey,
    holders: impl Iterator<Item = &'a Holder>,
) -> Option<&'a Holder> {
    let seed = key.to_string();
    holders.max_by_key(|holder| preference(&seed, holder))
}

fn preference(seed: &str, holder: &Holder) -> u64 {
    let incarnation = holder.incarnation.to_le_bytes();
    let bytes = seed.bytes().chain(*b"\0").chain(holder.node.bytes()).chain(incarnation);
    let hash =
        bytes.fold(HASH_BASIS, |hash, byte| (hash ^ u64::from(byte)).wrapping_mul(HASH_PRIME));
    // In FNV-1a the last bytes affect mostly the lower bits, so the result is mixed once more.
    (hash ^ (hash >> 29)).wrapping_mul(0xbf58_476d_1ce4_e5b9).rotate_left(31)
}
