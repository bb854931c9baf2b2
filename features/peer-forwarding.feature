@peer-forwarding
Feature: Requests of a VM that is cut off from the backend servers

  # Guards against callers of a VM that is cut off who are refused, or wait for a timeout, while other VMs reach the service.
  Scenario Outline: a VM whose links are <state> serves its callers through another one
    Given 2 forwarding VMs with callers
    When the links of VM 1 become <state>
    And 4500 ms pass with callers
    Then the requests at VM 1 from 2500 ms after the cut are served within 400 ms
    And VM 1 hands requests on, and VM 2 does not
    And no VM has logged an error

    Examples:
      | state       |
      | silent      |
      | refused     |
      | reset       |
      | new_refused |

  # Guards against an order that runs a second time because the VM it was handed to has ended.
  Scenario: an order whose receiver ends while it runs gets 502 and has run once
    Given 3 forwarding VMs of which VM 1 is cut off
    When VM 1 gets an order with the task late 1000
    And the request runs
    And the VM that serves it ends
    Then the answer has status 502
    And it has run 1 time

  # Guards against a request that is lost with its receiver although it may be repeated.
  Scenario: a read whose receiver ends while it runs is served by a third VM
    Given 3 forwarding VMs of which VM 1 is cut off
    When VM 1 gets a read with the task late 700
    And the request runs
    And the VM that serves it ends
    Then the answer has status 200
    And it has run 2 times

  # Guards against a stream that ends with its receiver, or continues with a gap, a repeated event or another model.
  Scenario: a stream whose receiver ends continues behind its last event
    Given 3 forwarding VMs of which VM 1 is cut off
    When VM 1 gets a cascade with the task gap 50
    And the caller has got 5 events
    And the VM that serves it ends
    Then the caller gets every event once
    And all events are of one model

  # Guards against requests that go round among VMs which are all cut off, and against waits for a service that is gone.
  Scenario Outline: <state> links of all VMs make no request go round
    Given 3 forwarding VMs with callers
    When the links of VMs 1, 2, 3 become <state>
    And 6500 ms pass with callers
    Then the requests at VM 1 from 4500 ms after the cut are refused within 100 ms

    Examples:
      | state   |
      | silent  |
      | refused |

  # Guards against a deadline that begins again at the second VM.
  Scenario: a request that is handed on ends at its own deadline
    Given 2 forwarding VMs of which VM 1 is cut off
    When VM 1 gets an order with 500 ms
    Then the answer has status 504 within 600 ms
    And the run is cancelled

  # Guards against backend servers that go on with a run nobody waits for.
  Scenario: a caller that leaves cancels the run behind the second VM
    Given 2 forwarding VMs of which VM 1 is cut off
    When VM 1 gets an order with the task late 2000
    And the request runs
    And the caller leaves
    Then the run is cancelled
