"""A stand-in for the platform's store: rows in tables, with a feed."""

import asyncio
import base64
import json
import time

import wire

MAX_ROWS = 500


class Store:
    """Keeps rows; nothing that was confirmed is lost."""

    def __init__(self) -> None:
        self.rows: dict[tuple[str, str, str], dict] = {}
        self.version = 1
        self.changed = asyncio.Event()

    def put(self, table: str, key: str, value: object) -> None:
        """Write a row of the operator or of an engine."""
        raw = base64.b64encode(json.dumps(value).encode()).decode()
        self.version += 1
        self.write(table, '', key, raw, False)

    def drop(self, table: str, key: str) -> None:
        """Remove a row."""
        self.version += 1
        self.write(table, '', key, '', True)

    def write(
        self, table: str, part: str, key: str, raw: str, gone: bool
    ) -> None:
        """Keep a row under the newest version, and wake those who wait."""
        self.rows[table, part, key] = {
            'table': table,
            'part': part,
            'key': key,
            'value': raw,
            'ver': self.version,
            'tombstone': gone,
        }
        self.changed.set()
        self.changed = asyncio.Event()

    async def handle(
        self, request: wire.Message, channel: wire.Channel
    ) -> None:
        """Answer a call."""
        await asyncio.sleep(0.004)
        status, found = 404, {}
        if request.path == '/api/rows-get':
            status, found = 200, self.read(request.query)
        elif request.path == '/api/rows-feed':
            status, found = 200, await self.feed(request.query)
        elif request.path == '/api/rows-tx':
            status, found = self.commit(json.loads(request.body))
        body = json.dumps(found).encode()
        headers = {'Content-Type': 'application/json'}
        await wire.write_answer(channel, status, headers, body)

    def page(self, rows: list[dict], has_more: bool = False) -> dict:
        """Return an answer about rows."""
        return {
            'rows': rows,
            'ver': self.version,
            'now_ms': int(time.monotonic() * 1000),
            'has_more': has_more,
        }

    def read(self, query: dict[str, str]) -> dict:
        """Return the rows of a part of a table."""
        part, begin = query.get('part', ''), query.get('from', '')
        end = query.get('to', '')
        most = min(MAX_ROWS, int(query.get('limit', MAX_ROWS)))
        rows = [
            row
            for (table, of, key), row in sorted(self.rows.items())
            if table == query['table']
            and of == part
            and key >= begin
            and not (end and key >= end)
            and not row['tombstone']
        ]
        return self.page(rows[:most], len(rows) > most)

    async def feed(self, query: dict[str, str]) -> dict:
        """Return what has changed, as soon as there is something."""
        after = int(query['after_rev'])
        until = time.monotonic() + int(query.get('wait_ms', 0)) / 1000.0
        while True:
            rows = [
                row
                for row in self.rows.values()
                if row['table'] == query['table'] and row['ver'] > after
            ]
            left = until - time.monotonic()
            if rows or left <= 0:
                return self.page(sorted(rows, key=lambda r: r['ver']))
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except TimeoutError:
                continue

    def commit(self, change: dict) -> tuple[int, dict]:
        """Carry out a transaction, or nothing of it."""
        for row in change.get('expected_rev', []):
            name = row['table'], row['part'], row['key']
            kept = self.rows.get(name)
            version = kept['ver'] if kept and not kept['tombstone'] else 0
            if row.get('ver', 0) != version:
                return 412, self.page([kept] if version else [])
        self.version += 1
        for row in change.get('set_keys', []):
            self.write(
                row['table'], row['part'], row['key'], row['value'], False
            )
        for row in change.get('remove', []):
            if (row['table'], row['part'], row['key']) in self.rows:
                self.write(row['table'], row['part'], row['key'], '', True)
        return 200, self.page([])
