@gateway
Feature: Gateway

  Background:
    Given a gateway with the engines "e1, e2"

  Scenario Outline: a gateway stream is complete when the first engine has the fault <fault>
    Given the gateway's engine "e1" has the fault "<fault>"
    When a gateway caller streams a chat
    Then the gateway answer is the complete answer of "kit-v1"
    And the gateway resumed on "e2": "<resumed>"
    And the gateway reported <crashes> crashes to the quarantine
    And the gateway counter <counter> is 1 for "<reason>"
    And the gateway billed "completed" with 8 output tokens
    And the gateway holds no permit and no budget reservation

    Examples:
      | fault               | resumed | crashes | counter | reason             |
      | gone                | no      | 0       | retries | connection_refused |
      | fail                | no      | 0       | retries | error_status       |
      | dieBeforeFirstToken | no      | 1       | retries | connection_lost    |
      | frozen              | no      | 0       | retries | first_byte_timeout |
      | dieMidStream        | yes     | 1       | resumes | connection_lost    |
      | freezeMidStream     | yes     | 0       | resumes | idle_timeout       |
      | truncate            | yes     | 0       | resumes | truncated          |
      | omitDone            | yes     | 0       | resumes | truncated          |
      | cross               | yes     | 0       | resumes | crossed            |

  Scenario Outline: the gateway reports whether the request ran when every engine has the fault <fault>
    Given the gateway's engine "e1" has the fault "<fault>"
    And the gateway's engine "e2" has the fault "<fault>"
    When a gateway caller streams a chat
    Then the gateway answer is <status> with the error "<type>" and run "<run>"
    And the gateway billed "<billed>" with <tokens> output tokens
    And the gateway holds no permit and no budget reservation

    Examples:
      | fault               | status | type                | run          | billed  | tokens |
      | gone                | 502    | backend_unreachable | not_run      | nothing | 0      |
      | dieBeforeFirstToken | 422    | request_quarantined | may_have_run | nothing | 0      |
      | fail                | 502    | backend_failed      | may_have_run | nothing | 0      |
      | dieMidStream        | 200    | request_quarantined | may_have_run | partial | 4      |
      | truncate            | 200    | answer_truncated    | may_have_run | partial | 4      |

  Scenario: a gateway answer that has started is resumed after the deadline for its start
    Given the gateway's engine "e1" has the fault "freezeMidStream"
    When a gateway caller streams a chat with a deadline of 150 ms
    Then the gateway answer is the complete answer of "kit-v1"

  Scenario: a gateway request that waits for a frozen engine beyond its deadline is not sent again
    Given the gateway's engine "e1" has the fault "frozen"
    When a gateway caller streams a chat with a deadline of 150 ms
    Then the gateway answer is 502 with the error "backend_failed" and run "may_have_run"

  Scenario: a gateway request that crashed two engines is refused without reaching a third
    When a gateway caller streams a chat with the prompt "[crash]"
    And a gateway caller streams a chat with the prompt "[crash]"
    Then the gateway answer is 422 with the error "request_quarantined" and run "not_run"
    And the gateway's engines received 2 requests

  # Guards against requests that are otherwise unlike and share a message that crashes one engine after the other.
  Scenario: a message that crashed two engines is refused in other gateway requests
    When a gateway caller streams a chat with the messages "[crash] rules, first question"
    And a gateway caller streams a chat with the messages "[crash] rules, second question"
    Then the gateway answer is 422 with the error "request_quarantined" and run "not_run"
    And the gateway's engines received 2 requests

  Scenario: a gateway resend that joins a failing request does not get the run state not_run
    Given the gateway's engines take 20 ms for a token
    And the gateway's engine "e1" has the fault "dieBeforeFirstToken"
    And the gateway's engine "e2" has the fault "dieBeforeFirstToken"
    When two gateway callers send a request with the key "k" at once
    Then the gateway answer is 422 with the error "request_quarantined" and run "may_have_run"
    And the gateway's engines received 2 requests

  Scenario: the gateway cancels the request of a caller that disconnects and bills the delivered tokens
    Given the gateway's engines take 20 ms for a token
    When a gateway caller disconnects after 2 tokens
    Then the gateway's engine "e1" cancels 1 request
    And the gateway bills "cancelled" with at least 2 and fewer than 8 output tokens
    And the gateway holds no permit and no budget reservation

  Scenario Outline: a gateway resend while the first request <state> gets the same answer and one bill
    Given the gateway's engines take 10 ms for a token
    And a second gateway VM
    When a gateway request with the key "k" <state>
    And the gateway request with the key "k" is sent again to "<vm>"
    Then the gateway answer is the complete answer of "kit-v1"
    And the gateway's engines received <received> requests
    And the gateway billed under one id

    Examples:
      | state                 | vm   | received |
      | is running            | vm-1 | 1        |
      | is running            | vm-2 | 1        |
      | has finished          | vm-1 | 1        |
      | has finished          | vm-2 | 1        |
      | lost its VM           | vm-2 | 2        |
      | loses its VM meanwhile | vm-2 | 2       |

  Scenario: the gateway refuses an idempotency key that was used for another request
    When a gateway request with the key "k" has finished
    And the gateway request with the key "k" is sent again with another prompt
    Then the gateway answer is 422 with the error "idempotency_key_reused" and run "not_run"

  Scenario Outline: the gateway refuses a request without side effects: <case>
    When a gateway caller sends <case>
    Then the gateway answer is <status> with the error "<type>" and run "not_run"
    And the gateway's engines received 0 requests
    And the gateway billed "nothing" with 0 output tokens
    And the gateway holds no permit and no budget reservation

    Examples:
      | case                        | status | type                     |
      | no key                      | 401    | unauthenticated          |
      | an unknown key              | 401    | unauthenticated          |
      | an expired key              | 401    | key_expired              |
      | the key of a wrong team     | 403    | model_not_permitted      |
      | an unknown model            | 404    | unknown_model            |
      | a body that is not JSON     | 400    | bad_request              |
      | a body without messages     | 400    | bad_request              |
      | a body with two choices     | 400    | bad_request              |
      | a body over the limit       | 413    | body_too_large           |
      | an oversized prompt         | 413    | prompt_too_large         |
      | a deadline that is no number | 400   | bad_request              |
      | an unknown priority         | 400    | bad_request              |
      | an unknown path             | 404    | not_found                |
      | a booking without a key     | 400    | idempotency_key_required |
      | a booking by a wrong team   | 403    | forbidden                |
      | a call of an unknown service | 404   | unknown_service          |
      | a call of an unknown route  | 404    | not_found                |
      | a call with dot segments    | 400    | bad_request              |

  Scenario Outline: the gateway chooses again when <change> between choice and dispatch
    Given the gateway's configuration changes before the first permit: <change>
    When a gateway caller streams a chat
    Then the gateway answer is the complete answer of "<version>"
    And the gateway's engine "e1" received no request for the outdated permit

    Examples:
      | change                         | version |
      | the version is withdrawn       | kit-v2  |
      | the backend server is leaving  | kit-v1  |
      | the permit has expired         | kit-v1  |

  Scenario: a gateway retry whose version was withdrawn after the first attempt uses the current version
    Given the gateway's engine "e1" has the fault "dieBeforeFirstToken"
    And the gateway's version is withdrawn when an engine crashes
    When a gateway caller streams a chat
    Then the gateway answer is the complete answer of "kit-v2"

  Scenario: the gateway sends the last chunk only after the bill is recorded
    Given the gateway's billing is delayed
    When a gateway caller streams a chat and has received all text
    Then the gateway stream has not ended
    When the gateway's bill is recorded
    Then the gateway answer is the complete answer of "kit-v1"

  Scenario Outline: the gateway returns an error when the bill <case>
    Given the gateway's bill <case>
    When a gateway caller streams a chat
    Then the gateway answer is <status> with the error "<type>" and run "<run>"
    And the gateway's engines received <received> requests
    And the gateway billed at most once

    Examples:
      | case                       | status | type                | run     | received |
      | could not be kept          | 503    | billing_unavailable | not_run | 0        |
      | is lost at the end         | 200    | billing_lost        | ran     | 1        |
      | is kept but seems lost     | 200    | billing_lost        | ran     | 1        |
      | is over the spending limit | 402    | budget_exhausted    | not_run | 0        |

  Scenario Outline: the gateway escalates a low-confidence answer to a more expensive tier that <case>
    Given the gateway's cheap tier is uncertain and the more expensive tier <case>
    When a gateway caller streams a chat with the model "desk"
    Then the gateway answer is the complete answer of "<version>"
    And the gateway billed the versions "<billed>"

    Examples:
      | case    | version      | billed               |
      | answers | kit-large-v1 | kit-v1, kit-large-v1 |
      | fails   | kit-v1       | kit-v1               |

  Scenario: a gateway that is leaving completes its streams and refuses new requests with the addresses of other entry points
    Given the gateway's engines take 20 ms for a token
    When a gateway request with the key "k" is running
    And the gateway VM is leaving
    And a gateway caller streams a chat
    Then the gateway answer is 503 with the error "vm_leaving" and run "not_run"
    And the gateway answer names other entry points
    And the gateway has drained only after its streams were complete

  Scenario: a gateway answer applies backpressure to its engine while no reader keeps up
    When a gateway answer with a window of 100 characters gets 300 characters
    Then the gateway answer accepted 101 characters
    And the gateway answer accepts the rest once its reader has read them

  Scenario: the gateway disconnects a caller that reads nothing
    Given a gateway caller that reads nothing
    When 30000 ms pass for the gateway caller
    Then the gateway caller is disconnected

  Scenario Outline: the gateway evicts finished answers when <case>
    Given a gateway answer registry for 100 characters
    When the gateway answer registry stores 3 answers of 40 characters
    And <ms> ms pass for the gateway answer registry
    Then the gateway answer registry has "<known>"

    Examples:
      | case            | ms     | known |
      | memory is short | 0      | 2, 3  |
      | they are old    | 900000 |       |

  Scenario: the gateway closes the connection to an engine that sends an endless line
    Given the gateway's engine "e1" is replaced by one that sends an endless line
    When a gateway caller streams a chat
    Then the gateway answer is the complete answer of "kit-v1"
    And the gateway counter retries is 1 for "line_too_long"

  Scenario: gateway answers and bills stay correct while engines fail at random
    Given a second gateway VM
    When 150 gateway requests are sent while engines fail at random
    Then every gateway answer belonged to its prompt and was complete, or reported an error
    And the gateway billed every complete answer once and nothing twice
    And the gateway holds no permit and no budget reservation
