@explain-log
Feature: A request explained from log lines

  Scenario: a request's lines come with what its VM believed
    Given log lines of two VMs about several requests
    When request r-1 is traced
    Then its lines are attempt_repeated, failed
    And the beliefs before are "the store does not answer", "backend server cannot be reached"

  Scenario: lines that are no JSON are passed over
    Given log lines of two VMs about several requests
    Then 6 lines are read
