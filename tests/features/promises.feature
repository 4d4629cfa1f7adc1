Feature: What must always hold
  The promises of the users, each under the change or failure that threatens it.

  Scenario Outline: An established board and an upload survive a planned change
    Given the heritage deployment with a board and an upload under way
    When <change> happens
    Then the board goes on and the upload arrives whole
    And nothing reached another service or another caller

    Examples:
      | change             |
      | StopEntryVm        |
      | JoinEntryVm        |
      | StopServer         |
      | JoinServer         |
      | ReclassTwice       |
      | RetireAndAdd       |
      | RotateKeys         |

  Scenario Outline: Requests end truthfully whatever fails
    Given the heritage deployment with holds under way
    When <failure> happens
    Then each hold ran at most once
    And each hold refused as not run did not run
    And each hold has exactly one outcome

    Examples:
      | failure            |
      | KillEntryVm        |
      | PauseEntryVm       |
      | KillServer         |
      | ReuseAddress       |
      | CutZones           |
      | CutPlatform        |
      | PlatformDown       |
      | PlatformStale      |
      | LoseHandoverAcks   |
      | KillDuringHandover |

  Scenario: A leaving backend server gets no new work after a few seconds
    Given the heritage deployment with holds under way
    When StopServer happens
    Then no server started work later than 3 seconds after it began to leave

  Scenario: A planned stop cuts no request in progress
    Given the heritage deployment with holds under way
    When StopEntryVm happens
    Then every hold was answered

  Scenario: A catalogue change is in force everywhere within seconds and never reverts
    Given the heritage deployment with holds under way
    When ReclassTwice happens
    And PlatformStale happens
    Then every entry VM has the newest catalogue within 5 seconds
