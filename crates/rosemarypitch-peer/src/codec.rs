//! Encoding of messages: one byte with the protocol version, then the message in bincode's
//! standard configuration.

use bincode::config;
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Protocol version, sent as the first byte of each message.
pub const PROTOCOL_VERSION: u8 = 3;
/// Maximum length of a message, in bytes; large enough for a configuration document.
pub const MAX_MESSAGE_BYTES: usize = 2 << 20;

/// Encodes a message, preceded by the protocol version.
pub fn encode<T: Serialize>(message: &T) -> Result<Vec<u8>, String> {
    let mut bytes = vec![PROTOCOL_VERSION];
    bincode::serde::encode_into_std_write(message, &mut bytes, config::standard())
        .map_err(|error| error.to_string())?;
    Ok(bytes)
}

/// Decodes a message.
///
/// Fails if the version differs, the body is malformed, or bytes are left after it.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, String> {
    let Some((version, body)) = bytes.split_first() else {
        return Err("empty message".to_owned());
    };
    if *version != PROTOCOL_VERSION {
        return Err(format!("version {version}, not {PROTOCOL_VERSION}"));
    }
    let limits = config::standard().with_limit::<MAX_MESSAGE_BYTES>();
    let (message, used) =
        bincode::serde::decode_from_slice(body, limits).map_err(|error| error.to_string())?;
    if used < body.len() {
        return Err(format!("{} bytes left over", body.len() - used));
    }
    Ok(message)
}
