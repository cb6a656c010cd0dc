"""Flags that all commands for operators share."""

import os
import pathlib

from absl import flags

from greengagelb import errors
from greengagelb import settings
from greengagelb.transport import operator_client

KEY_VARIABLE = 'GREENGAGELB_OPERATOR_KEY'

OPERATOR = flags.DEFINE_list(
    'operator',
    [],
    'Operator addresses of instances as IP:PORT, separated by commas.',
)
OPERATOR_KEY_FILE = flags.DEFINE_string(
    'operator_key_file',
    None,
    'File that holds the operator key. Without it the key is taken from the '
    f'environment variable {KEY_VARIABLE}. It is never given as an argument: '
    'every user of a machine can read the arguments of its processes.',
)


def operator_addresses() -> list[operator_client.Address]:
    """Return the addresses in the flag; raise if there is none."""
    if not OPERATOR.value:
        raise errors.CommandError('write --operator=IP:PORT[,IP:PORT...]')
    return [parse_address(text) for text in OPERATOR.value]


def parse_address(
    text: str, flag: str = 'operator'
) -> operator_client.Address:
    """Parse ``IP:PORT``; IPv6 addresses are in brackets."""
    host, _, port = text.strip().rpartition(':')
    try:
        return operator_client.Address(
            settings.parse_ip_number(host.strip('[]')),
            settings.parse_port(port),
        )
    except ValueError as exc:
        raise errors.CommandError(f'--{flag}={text}: {exc}') from exc


def operator_key() -> str:
    """Return the operator key from its file or the environment."""
    if OPERATOR_KEY_FILE.value is None:
        key = os.environ.get(KEY_VARIABLE, '')
        if not key:
            raise errors.CommandError(
                f'write --operator_key_file=FILE or set {KEY_VARIABLE}'
            )
        return key
    try:
        text = pathlib.Path(OPERATOR_KEY_FILE.value).read_text('utf-8')
    except (OSError, UnicodeDecodeError) as exc:
        raise errors.CommandError(f'--operator_key_file: {exc}') from exc
    key = text.strip()
    if not key:
        raise errors.CommandError(
            f'--operator_key_file: {OPERATOR_KEY_FILE.value} is empty'
        )
    return key
