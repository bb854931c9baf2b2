@forwarding-fleet
Feature: Forwarding VMs that share a store and the limits of backend servers

  # Guards against VMs without a part of a limit that refuse requests though the limit is far from reached.
  Scenario: a VM without requests of its own borrows them from another VM
    Given 3 forwarding VMs and a backend server that bears 1 request a second
    When each of the VMs gets a request, 1500 ms after the one before
    Then all of them are answered
    And the backend server got at most 1 request in any second

  Scenario: a VM that can borrow no request refuses in time
    Given 3 forwarding VMs and a backend server that bears 1 request a second
    When each of the VMs gets 2 requests at once
    Then at least 1 of them is answered, and the others are refused as not run within 1500 ms
    And the backend server got at most 1 request in any second

  # Guards against a VM that starts and reads from the store what another VM has read.
  Scenario: a VM that starts later reads only the list of the VMs from the store
    Given 3 forwarding VMs and a backend server that bears 1 request a second
    Then the store was asked for the configuration by 2 VMs only

  # Guards against a VM that starts and reads from the store, again and again, what another VM reads.
  Scenario: a VM that starts later follows all kinds through another VM
    Given 3 forwarding VMs and a backend server that bears 1 request a second
    Then the last VM has listed only the VMs once and polled the store for the other VMs only

  # Guards against a VM that restarts with all others and waits for their copies, or reads more than these from the store.
  Scenario: a VM that restarts lists each kind once in the store and follows it through another VM
    Given 3 forwarding VMs and a backend server that bears 1 request a second
    When the last VM starts again
    Then the last VM has listed each kind once and polled the store for the other VMs only

  # Guards against a VM that starts, has met no other one yet and therefore follows the store itself.
  Scenario: a VM that starts takes registered VMs that it has not met for relays, but not for long
    Given a VM that has just read the entry of another one and has not met it
    Then it may use the other one as a relay
    When 5100 ms pass without a sign of the other one
    Then it does not use the other one as a relay

  # Guards against a VM that uses its part of a limit though the others removed its entry while it was paused, and share its part.
  Scenario: a VM whose entry was removed while it was paused uses its part of a limit only when the others know it again
    Given a VM that has been registered for 5000 ms
    When it is paused for 20000 ms and its entry is removed meanwhile
    Then it may use its part of a limit again 1000 ms after it has registered again

  # Guards against a VM that waits because of the removal of its earlier process's entry.
  Scenario: a VM that learns late of the removal of an earlier entry goes on to use its part of a limit
    Given a VM that has been registered for 5000 ms
    When it learns of the removal of the entry before its own
    Then it may use its part of a limit as before
