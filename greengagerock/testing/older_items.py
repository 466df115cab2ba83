"""Log entry and snapshot that the last build without evacuations wrote for the same limits."""

OLDER_LIMITS = bytes.fromhex("9501cd4000ce00100000cb4008000000000000cb402e000000000000")
OLDER_PAYLOAD = b"P\x95\x90\x90" + OLDER_LIMITS + b"\x90\x90"
OLDER_SNAPSHOT = (
    b"\x84\xa5items\x83\xa6routes\x80\xa8services\x80\xa6limits"
    + OLDER_LIMITS
    + b"\xaatombstones\x80\xa8accepted\x91\xcf]3\xfaq&\xe4\xddY\xa7leavers\x80"
)
