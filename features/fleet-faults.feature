@fleet
Feature: Fleet under faults

  # Guards against a dispatch that runs twice, or is reported as not run although it ran, when the caller resends it to other VMs.
  Scenario Outline: fleet dispatch runs at most once when <fault>
    Given a fleet of 3 VMs, 1 engine and 1 application
    When the fleet dispatch "order-9" is sent while <fault>
    Then the fleet dispatch "order-9" ran at most once and its answers match the number of runs

    Examples:
      | fault                                  |
      | nothing fails                          |
      | the serving VM is killed               |
      | the serving VM is paused               |
      | the object API loses an answer         |
      | the object API is down                 |
      | the application loses its answer       |
      | the application crashes before the run |
      | the application crashes after the run  |
      | all VMs receive it at once             |

  # Guards against answers that are truncated, belong to another request or are not billed when an engine fails.
  Scenario Outline: fleet streams are complete when an engine has the fault <fault>
    Given a fleet of 2 VMs, 3 engines and 1 application
    And fleet engine 1 has the fault <fault>
    When 12 fleet streams run at once
    Then every fleet stream is complete and answers its own prompt
    And the fleet has billed each answered request once

    Examples:
      | fault               |
      | dieBeforeFirstToken |
      | dieMidStream        |
      | truncate            |
      | cross               |
      | fail                |

  # Guards against new work on a withdrawn version, also on a VM that starts while the object API is down.
  Scenario: fleet sends no new work to a withdrawn version, also after a VM restarts
    Given a fleet of 3 VMs, 2 engines and 1 application
    When the fleet withdraws "kit-small-v1" after "kit-small-v2" has weight 1
    Then no fleet VM answers "kit-small" with "kit-small-v1"
    When the fleet object API goes down and VM 3 is killed and started again
    Then no fleet VM answers "kit-small" with "kit-small-v1"

  # Guards against new work in a data centre that operators drained, and against its running streams being cut.
  Scenario: fleet data centre is drained and restored
    Given a fleet of 3 VMs, 4 engines and 2 applications
    When fleet streams are running and the data centre "bag-a" is drained
    Then every fleet stream is complete and answers its own prompt
    And new fleet requests reach only engines outside "bag-a"
    When the fleet data centre "bag-a" is restored
    Then fleet requests reach engines in "bag-a" again

  # Guards against interrupted requests and lost billing records when a VM shuts down gracefully.
  Scenario: fleet VM shuts down gracefully while streams run
    Given a fleet of 3 VMs, 2 engines and 1 application
    When fleet VM 1 receives SIGTERM while its streams run
    Then every fleet stream is complete and answers its own prompt
    And the stopped fleet VM exited with code 0
    And the fleet has billed each answered request once

  # Guards against VMs that refuse all work after a leader fails or while the object API is unreachable.
  Scenario Outline: fleet serves chat again after <fault>
    Given a fleet of 3 VMs, 4 engines and 1 application
    When the fleet has the fault: <fault>
    Then every live fleet VM answers chat requests again
    When the fleet VMs reach the object API again
    And the fleet has billed each answered request once

    Examples:
      | fault                               |
      | a leader is killed                  |
      | a leader is paused                  |
      | the object API is down for 6 s      |
      | VM 2 is cut off from the object API |

  # Guards against one request that crashes every backend server it is sent to.
  Scenario: fleet quarantines a request that crashes engines
    Given a fleet of 3 VMs, 4 engines and 1 application
    When the fleet request that crashes engines is sent 4 times to each VM
    Then at most 2 fleet engines crashed
    And every live fleet VM answers chat requests again

  # Guards against several VMs that together overload an engine in cold start.
  Scenario: fleet engines in cold start are not overloaded by a burst from all VMs
    Given a fleet of 4 VMs whose 2 engines start cold with an allowance of 2
    When 24 fleet chat requests arrive at once
    Then no fleet engine was overloaded
    When fleet engine 1 restarts cold and 24 chat requests follow
    Then no fleet engine was overloaded

  # Guards against two accepted changes that are based on the same revision.
  Scenario: two operators of a fleet change one contract at once on two VMs
    Given a fleet of 2 VMs, 1 engine and 1 application
    When two operators change one fleet contract at once on different VMs
    Then one fleet change is accepted and the other fails with a conflict
    And every fleet VM has the accepted contract

  # Guards against a session that changes its version when weights change or another VM serves it.
  Scenario: fleet session keeps its version when weights change
    Given a fleet of 3 VMs, 2 engines and 1 application
    When 10 fleet sessions start and then "kit-small-v2" gets weight 1 and "kit-small-v1" weight 0.1
    Then each fleet session keeps its version on every VM

  # Guards against lost and duplicate billing records when the VM is killed or the object API is unavailable.
  Scenario Outline: fleet bills each answer once when <fault>
    Given a fleet of 3 VMs, 2 engines and 1 application
    When fleet answers are delivered while <fault>
    Then the fleet has billed each answered request once

    Examples:
      | fault                             |
      | VM 1 is killed after the answers  |
      | the object API loses answers      |
      | the object API is down for a time |

  # Guards against new work on a backend server that operators drained, and against its running streams being cut.
  Scenario: fleet backend server is drained while streams run
    Given a fleet of 3 VMs, 3 engines and 1 application
    When fleet streams are running and engine 1 is drained
    Then every fleet stream is complete and answers its own prompt
    And fleet engine 1 receives no more work

  # Guards against an answer that is lost or billed twice when the VM that forwards it is killed.
  Scenario: fleet caller resends a request with an idempotency key after its VM was killed during the stream
    Given a fleet of 3 VMs, 2 engines and 1 application
    When fleet VM 1 is killed during a stream with an idempotency key and the caller resends to VM 2
    Then every fleet stream is complete and answers its own prompt
    And the fleet has one billing record for the resent request
