"""A settings file of the product's own interface without a mistake."""

GOOD = """\
[instance]
name = a
data_centre = kl-1
host = 127.0.0.1
caller_port = 1
operator_port = 2
peer_port = 3

[platform]
host = 127.0.0.1
port = 4

[secrets]
cursor_secret = 0123456789abcdef
operator_key_digest = DIGEST
""".replace('DIGEST', 'a' * 64)
