@claims
Feature: Claims

  Scenario: when two VMs claim the same key concurrently, only one of them may send
    Given claims of the VMs "vm-1, vm-2"
    When a claim of key "k" is requested on all VMs concurrently
    Then the claim outcomes are "acquired, in_progress"

  Scenario Outline: a repeated request whose claim owner <event> gets <outcome>
    Given claims of the VMs "vm-1, vm-2"
    And the claim of key "k" is held by "vm-1"
    When the claim owner "vm-1" <event>
    And a claim of key "k" is requested on "<vm>"
    Then the claim outcome is "<outcome>"

    Examples:
      | event                             | vm   | outcome         |
      | is still running the call         | vm-2 | in_progress     |
      | is still running the call         | vm-1 | in_progress     |
      | dies                              | vm-2 | outcome_unknown |
      | restarts                          | vm-1 | outcome_unknown |
      | restarts                          | vm-2 | outcome_unknown |
      | loses the answer                  | vm-2 | outcome_unknown |
      | loses the answer                  | vm-1 | outcome_unknown |
      | completes                         | vm-2 | replayed        |
      | did not send                      | vm-2 | acquired        |
      | completes while the store is down | vm-1 | replayed        |

  Scenario Outline: a claim whose create fails with <fault> is refused and its key can be claimed later
    Given claims of the VMs "vm-1, vm-2"
    And the next claim store write has the fault "<fault>"
    When a claim of key "k" is requested on "vm-1"
    Then the claim outcome is "claim_unavailable"
    When the claim store performs the delayed writes
    And the claims have 2000 ms to reconcile
    And a claim of key "k" is requested on "vm-2"
    Then the claim outcome is "acquired"
    And the stored claim of key "k" has attempt <attempt>

    Examples:
      | fault         | attempt |
      | down          | 1       |
      | lost answer   | 2       |
      | delayed write | 2       |
      | lost write    | 1       |

  Scenario: a delayed create that is performed after another VM claimed the key does not change that VM's claim
    Given claims of the VMs "vm-1, vm-2"
    And the next claim store write has the fault "delayed write"
    When a claim of key "k" is requested on "vm-1"
    And a claim of key "k" is requested on "vm-2"
    And the claim store performs the delayed writes
    And the claims have 2000 ms to reconcile
    Then the claim outcome is "acquired"
    And the stored claim of key "k" belongs to "vm-2"

  Scenario: a claim whose not_run state is not stored yet is taken over, so that the state cannot be stored after a send
    Given claims of the VMs "vm-1, vm-2"
    And the claim of key "k" is held by "vm-1"
    When the claim owner "vm-1" did not send while the store is down
    And the claim of key "k" is requested again by its first request on "vm-1"
    Then the claim outcome is "acquired"
    And the stored claim of key "k" has attempt 2

  Scenario: a claim holder that was paused beyond its deadline may not send
    Given claims of the VMs "vm-1, vm-2"
    And the claim of key "k" is held by "vm-1"
    When the claims have 61000 ms to reconcile
    Then the claim of key "k" no longer allows a send

  Scenario: a claim key that is reused for another request is refused
    Given claims of the VMs "vm-1"
    And the claim of key "k" is held by "vm-1"
    When a claim of key "k" for another request is requested on "vm-1"
    Then the claim outcome is "idempotency_key_reused"

  Scenario: completed claims are deleted after 24 hours and dispatched ones are kept
    Given claims of the VMs "vm-1, vm-2"
    And the claim of key "sent" is held by "vm-2"
    And the claim of key "finished" is held by "vm-1"
    And the claim owner "vm-1" completes
    When the claims have 90000000 ms to reconcile
    Then the stored claims are those of "sent"

  Scenario: claims never allow a second run under random faults
    When claims are tested with 300 random histories of 3 VMs
    Then no claim history ran a call twice
