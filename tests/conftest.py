"""Fixtures and Hypothesis profile shared by all tests."""

from hypothesis import HealthCheck, settings

settings.register_profile(
    "marjoramford",
    derandomize=True,
    deadline=None,
    database=None,
    print_blob=True,
    suppress_health_check=[HealthCheck.too_slow, HealthCheck.data_too_large],
)
settings.load_profile("marjoramford")
