"""Quotas and admission: client accounts, retries, engines and the store."""
