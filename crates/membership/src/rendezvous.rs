//! Rendezvous hashing: all instances with the same view name the same one.

/// The name with the highest hash of name and key. `None` if there are no names.
pub fn responsible_for<'a>(
    key: &str,
    names: impl IntoIterator<Item = &'a str>,
) -> Option<&'a str> {
    names
        .into_iter()
        .max_by_key(|name| (rank(name, key), *name))
}

/// The rank of a name for a key, by which all instances order names alike; the highest goes
/// first. Each key orders them differently.
///
/// FNV-1a over both texts, with a finishing step that spreads the last bytes. The same in
/// every process, unlike the hashers of the standard library.
pub fn rank(name: &str, key: &str) -> u64 {
    const OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x0000_0100_0000_01b3;
    let bytes = name.bytes().chain([0]).chain(key.bytes());
    let hash = bytes.fold(OFFSET, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(PRIME)
    });
    (hash ^ (hash >> 32)).wrapping_mul(0x9e37_79b9_7f4a_7c15)
}
