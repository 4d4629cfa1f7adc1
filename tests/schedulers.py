"""Distribution of the tests among parallel processes.

The marks `xdist_group` and `--dist loadgroup` cannot be used: pytest-xdist 3.8.0 writes the group
into an attribute of the test that pytest 9.2.0 does not read, so nothing is grouped.
"""

from xdist.scheduler import LoadScopeScheduling

# Tests whose result depends on the real time that processes or connections take. They run one after
# another in one process, so that they do not delay each other.
REAL_TIME_TESTS = (
    "tests/test_demo.py",
    "tests/test_platform_main.py",
    "tests/test_processes.py",
    "tests/test_soak.py::test_soak_with_overlapping_faults_finds_no_violation",
    "tests/test_store_restores.py"
    "::test_waiting_followers_are_told_of_the_new_era_within_a_tenth_of_a_second",
)
# The tests of a function share what it measures once in a process.
SHARED_MEASUREMENTS = "tests/test_comparisons.py"


class GroupScheduling(LoadScopeScheduling):
    """Starts the largest groups first, then distributes all other tests one at a time."""

    def _split_scope(self, nodeid: str) -> str:
        if nodeid.startswith(REAL_TIME_TESTS):
            return "real time"
        if nodeid.startswith(SHARED_MEASUREMENTS):
            return nodeid.partition("[")[0]
        return nodeid
