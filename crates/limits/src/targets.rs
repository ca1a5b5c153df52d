//! Who should hold how many tokens of a limit.

use crate::key::LimitKey;
use crate::row::Holder;

/// Tokens of a holding that is worth having; a small limit lives on few nodes.
const HOLDING_MIN: u32 = 2;
/// Weight of one asked-for token against the weight that every node has.
const DEMAND_WEIGHT: u64 = 8;
/// Offset basis and prime of the FNV-1a hash.
const HASH_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
const HASH_PRIME: u64 = 0x0000_0100_0000_01b3;

/// Tokens that each holder should have: in proportion to what it asks for, with the same for each
/// where nobody asks, and on no more holders than are worth it. Sums up to `limit`.
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
    // What the divisions left goes to the first in order, one each.
    for &index in chosen.iter().cycle().take(remainder as usize) {
        counts[index] += 1;
    }
    counts
}

/// The holder that hands out free tokens of a limit; the same at every node that sees the same
/// members.
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
    // The last bytes change only the lower bits, so they are spread.
    (hash ^ (hash >> 29)).wrapping_mul(0xbf58_476d_1ce4_e5b9).rotate_left(31)
}
