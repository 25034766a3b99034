//! Rendezvous hashing. All instances that know the same names choose the same one for a
//! key.

/// The name that is responsible for a key: the one with the highest [`rank`]. `None` if
/// there are no names.
pub fn responsible_for<'a>(
    key: &str,
    names: impl IntoIterator<Item = &'a str>,
) -> Option<&'a str> {
    names
        .into_iter()
        .max_by_key(|name| (rank(name, key), *name))
}

/// The rank of a name for a key. All instances order names by rank in the same way,
/// highest first, and each key results in a different order.
///
/// Computed with FNV-1a over both texts and a final mixing step that spreads the last
/// bytes over all bits. Unlike the hashers of the standard library, it gives the same
/// result in every process.
pub fn rank(name: &str, key: &str) -> u64 {
    const OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x0000_0100_0000_01b3;
    let bytes = name.bytes().chain([0]).chain(key.bytes());
    let hash = bytes.fold(OFFSET, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(PRIME)
    });
    (hash ^ (hash >> 32)).wrapping_mul(0x9e37_79b9_7f4a_7c15)
}
