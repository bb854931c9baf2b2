@service-calls
Feature: Service calls

  Background:
    Given service calls through the VMs "vm-1, vm-2" to the runners "a1, a2"

  Scenario Outline: a service booking runs at most once when <fault>
    Given the service fault "<fault>"
    When a service booking with the key "k" is sent to "vm-1"
    Then the service answer is <status> with "<type>" and run "<run>"
    And the service booking "k" ran <runs> times
    When a service booking with the key "k" is sent to "<vm>"
    Then the service answer is <status2> with "<type2>" and run "<run2>"
    And the service booking "k" ran <runs2> times
    And the service calls hold no permit and no budget reservation

    Examples:
      | fault                    | status | type              | run          | runs | vm   | status2 | type2           | run2         | runs2 |
      | nothing fails            | 201    | none              | none         | 1    | vm-2 | 201     | none            | none         | 1     |
      | a1 is gone               | 201    | none              | none         | 1    | vm-2 | 201     | none            | none         | 1     |
      | a1 crashes before it ran | 409    | outcome_unknown   | may_have_run | 0    | vm-2 | 409     | outcome_unknown | may_have_run | 0     |
      | a1 crashes after it ran  | 409    | outcome_unknown   | may_have_run | 1    | vm-2 | 409     | outcome_unknown | may_have_run | 1     |
      | a1 loses the answer      | 409    | outcome_unknown   | may_have_run | 1    | vm-1 | 409     | outcome_unknown | may_have_run | 1     |
      | a1 freezes               | 409    | outcome_unknown   | may_have_run | 0    | vm-1 | 409     | outcome_unknown | may_have_run | 0     |
      | all runners are gone     | 502    | backend_unreachable | not_run    | 0    | vm-2 | 502     | backend_unreachable | not_run  | 0     |
      | the store is down        | 503    | claim_unavailable | not_run      | 0    | vm-2 | 503     | claim_unavailable | not_run    | 0     |
      | the claim answer is lost | 503    | claim_unavailable | not_run      | 0    | vm-1 | 201     | none            | none         | 1     |
      | the claim write is delayed | 503   | claim_unavailable | not_run      | 0    | vm-1 | 201     | none            | none         | 1     |
      | the permit expires once  | 201    | none              | none         | 1    | vm-2 | 201     | none            | none         | 1     |
      | the done claim is not written | 201 | none            | none         | 1    | vm-1 | 201     | none            | none         | 1     |
      | the bill is lost         | 503    | billing_lost      | ran          | 1    | vm-2 | 201     | none            | none         | 1     |
      | no bill can be kept      | 503    | billing_unavailable | not_run    | 0    | vm-2 | 201     | none            | none         | 1     |

  Scenario: a service booking is not sent on a permit that expired while its claim was written
    Given the service fault "the permit expires once"
    When a service booking with the key "k" is sent to "vm-1"
    Then the service permits were released as "not_sent, completed"

  Scenario: a service read that may have run on a crashed runner is not reported as not_run
    Given the service fault "a1 crashes before it ran"
    And the service fault "a2 is gone"
    When a service read is sent to "vm-1"
    Then the service answer is 502 with "backend_unreachable" and run "may_have_run"

  Scenario: a service booking sent to two VMs at once runs once
    Given the service fault "the runners are slow"
    When service bookings with the key "k" are sent to all VMs at once
    Then the service answers are "201, 409"
    And the service booking "k" ran 1 time

  Scenario: a service booking whose caller disconnects completes and its answer is stored
    Given the service fault "the runners are slow"
    When a service caller sends a booking with the key "k" and disconnects
    And a service booking with the key "k" is sent to "vm-2"
    Then the service answer is 201 with "none" and run "none"
    And the service booking "k" ran 1 time

  Scenario: a service booking whose VM failed is not sent to a runner again
    Given the service fault "a1 freezes"
    When a service booking with the key "k" is in progress on "vm-1" and that VM dies
    And a service booking with the key "k" is sent to "vm-2"
    Then the service answer is 409 with "outcome_unknown" and run "may_have_run"

  Scenario Outline: a service read is retried when <fault>
    Given the service fault "<fault>"
    When a service read is sent to "vm-1"
    Then the service answer is 200 with "none" and run "none"

    Examples:
      | fault                    |
      | a1 is gone               |
      | a1 crashes before it ran |
      | a1 freezes               |

  Scenario: a service booking that reuses a key with a different body is refused
    When a service booking with the key "k" is sent to "vm-1"
    And a service booking with the key "k" and another body is sent to "vm-2"
    Then the service answer is 422 with "idempotency_key_reused" and run "not_run"
    And the service booking "k" ran 1 time
