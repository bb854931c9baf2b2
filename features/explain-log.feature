@explain-log
Feature: Request trace from log lines

  Scenario: a request's lines are traced with the preceding state changes of its VM
    Given log lines of two VMs about several requests
    When request r-1 is traced
    Then its lines are attempt_repeated, failed
    And the preceding state changes are "the store does not answer", "backend server cannot be reached"

  Scenario: lines without JSON are skipped
    Given log lines of two VMs about several requests
    Then 6 lines are read
