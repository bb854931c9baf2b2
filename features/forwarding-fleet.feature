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

  # Guards against a VM that starts, has met no other one yet and therefore follows the store itself.
  Scenario: a VM that starts takes registered VMs that it has not met for relays, but not for long
    Given a VM that has just read the entry of another one and has not met it
    Then it may use the other one as a relay
    When 5100 ms pass without a sign of the other one
    Then it does not use the other one as a relay
