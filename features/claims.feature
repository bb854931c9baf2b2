@claims
Feature: Claims

  Scenario: two VMs claim one key at once and one of them may send
    Given claims of the VMs "vm-1, vm-2"
    When a claim of key "k" is asked on all VMs at once
    Then the claim outcomes are "acquired, in_progress"

  Scenario Outline: a resend of a call whose owner <fate> gets <outcome>
    Given claims of the VMs "vm-1, vm-2"
    And the claim of key "k" is held by "vm-1"
    When the claim owner "vm-1" <fate>
    And a claim of key "k" is asked on "<vm>"
    Then the claim outcome is "<outcome>"

    Examples:
      | fate                   | vm   | outcome         |
      | runs on                | vm-2 | in_progress     |
      | runs on                | vm-1 | in_progress     |
      | dies                   | vm-2 | outcome_unknown |
      | restarts               | vm-1 | outcome_unknown |
      | restarts               | vm-2 | outcome_unknown |
      | loses the answer       | vm-2 | outcome_unknown |
      | loses the answer       | vm-1 | outcome_unknown |
      | completes              | vm-2 | replayed        |
      | did not send           | vm-2 | acquired        |
      | completes without store | vm-1 | replayed       |

  Scenario Outline: a claim whose create is <fault> is refused and its key may be used later
    Given claims of the VMs "vm-1, vm-2"
    And the claim store loses writes: "<fault>"
    When a claim of key "k" is asked on "vm-1"
    Then the claim outcome is "claim_unavailable"
    When the claim store lets late writes land
    And the claims have 2000 ms to reconcile
    And a claim of key "k" is asked on "vm-2"
    Then the claim outcome is "acquired"
    And the stored claim of key "k" has attempt <attempt>

    Examples:
      | fault         | attempt |
      | down          | 1       |
      | answer lost   | 2       |
      | landing late  | 2       |
      | never landing | 1       |

  Scenario: a claim create that lands after a resend ran does not disturb it
    Given claims of the VMs "vm-1, vm-2"
    And the claim store loses writes: "landing late"
    When a claim of key "k" is asked on "vm-1"
    And a claim of key "k" is asked on "vm-2"
    And the claim store lets late writes land
    And the claims have 2000 ms to reconcile
    Then the claim outcome is "acquired"
    And the stored claim of key "k" belongs to "vm-2"

  Scenario: a claim that is still to be marked not run is taken over, so that the mark cannot follow a send
    Given claims of the VMs "vm-1, vm-2"
    And the claim of key "k" is held by "vm-1"
    When the claim owner "vm-1" did not send without store
    And the claim of key "k" is asked again by its first request on "vm-1"
    Then the claim outcome is "acquired"
    And the stored claim of key "k" has attempt 2

  Scenario: a claim holder that was paused beyond its deadline must not send
    Given claims of the VMs "vm-1, vm-2"
    And the claim of key "k" is held by "vm-1"
    When the claims have 61000 ms to reconcile
    Then the claim of key "k" may not be sent any more

  Scenario: a claim key with another request is refused
    Given claims of the VMs "vm-1"
    And the claim of key "k" is held by "vm-1"
    When a claim of key "k" for another request is asked on "vm-1"
    Then the claim outcome is "idempotency_key_reused"

  Scenario: claims that are done are deleted after 24 hours and sent ones are kept
    Given claims of the VMs "vm-1, vm-2"
    And the claim of key "sent" is held by "vm-2"
    And the claim of key "finished" is held by "vm-1"
    And the claim owner "vm-1" completes
    When the claims have 90000000 ms to reconcile
    Then the stored claims are those of "sent"

  Scenario: claims never allow a second run under random faults
    When claims are tried with 300 random histories of 3 VMs
    Then no claim history ran a call twice or ran one that was reported not run
