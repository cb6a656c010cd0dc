"""Compression of documents in the platform's rows and between instances."""

import base64
import zlib

import pytest

from greengagelb import errors
from greengagelb.protocol import codec
from greengagelb.state import plans


def test_document_is_unchanged_after_compression_and_decompression():
    plan = plans.Confirmation(7, 'p' * 16)
    text = codec.compress_to_text(plan)
    assert codec.decompress_from_text(text, plans.Confirmation) == plan


@pytest.mark.parametrize(
    'text',
    [
        'no base64!',
        base64.b64encode(b'not compressed').decode(),
        base64.b64encode(zlib.compress(b'{"version": "x"}')).decode(),
        base64.b64encode(
            zlib.compress(bytes(codec.MAX_DOCUMENT_BYTES + 1))
        ).decode(),
    ],
)
def test_row_that_cannot_be_decoded_is_rejected(text):
    """A row of the platform's table was overwritten by hand."""
    with pytest.raises(errors.ProtocolError):
        codec.decompress_from_text(text, plans.Confirmation)
