@replacement
Feature: Attempts that replace a running one

  # Guards against a retry that the next attempt lacks, because a replacement that comes to nothing still holds it.
  Scenario: a stream that breaks while its replacement is being reserved is resumed with the only retry
    Given a forwarder with 1 retry, replacements that take 400 ms and backend servers that stream-break-late, stream
    When it forwards a stream
    Then the caller of the forwarder gets 200 with the events 1, 2, 3, 4 and the end
    And 1 retry is used up and no capacity is taken

  # Guards against an error response that is forwarded because another replacement is being reserved.
  Scenario: an error response that arrives while a replacement is being reserved is repeated
    Given a forwarder with 5 retries, replacements that take 400 ms and backend servers that answer-500-late, answer
    When it forwards an idempotent request
    Then the caller of the forwarder gets 200 with whole
    And 1 retry is used up and no capacity is taken

  # Guards against a stream that is cut because its replacement is refused, although its own backend server goes on.
  Scenario Outline: a stream from a backend server that does <behaviour> goes on when its replacement gets <refusal>
    Given a forwarder with 5 retries, replacements that take 5 ms and backend servers that <behaviour>, <refusal>
    When it forwards a stream
    Then the caller of the forwarder gets 200 with the events 1, 2, 3, 4 and the end
    And no capacity is taken

    Examples:
      | behaviour    | refusal    |
      | stream-pause | not-run    |
      | stream-pause | reset      |
      | stream-pause | answer-500 |
      | stream-pause | answer-503 |
      | stream-pause | no-mark    |
      | stream-pause | garbage    |
      | stream-late  | not-run    |
      | stream-late  | reset      |

  # Guards against an idempotent request that fails because its replacement is refused, although its own backend server answers.
  Scenario Outline: a late answer is delivered when its replacement gets <refusal>
    Given a forwarder with 5 retries, replacements that take 5 ms and backend servers that answer-after-1500-ms, <refusal>
    When it forwards an idempotent request
    Then the caller of the forwarder gets 200 with whole
    And no capacity is taken

    Examples:
      | refusal    |
      | not-run    |
      | reset      |
      | answer-500 |

  # Guards against two backend servers that go on with one stream, and against events that are delivered twice.
  Scenario: a stream that goes on while its replacement is offered is delivered by its own backend server
    Given a forwarder with 5 retries, replacements that take 5 ms and backend servers that stream-brief-pause, silent
    When it forwards a stream
    Then the caller of the forwarder gets 200 with the events 1, 2, 3, 4 and the end
    And no capacity is taken
    And its attempts are observed as abandoned, completed

  # Guards against a retry that is sent twice because the stream breaks while its replacement is offered.
  Scenario: a stream that breaks while its replacement is offered is resumed by the replacement
    Given a forwarder with 1 retry, replacements that take 5 ms and backend servers that stream-brief-break, stream-late-head
    When it forwards a stream
    Then the caller of the forwarder gets 200 with the events 1, 2, 3, 4 and the end
    And 1 retry is used up and no capacity is taken

  # Guards against a refusal that says that a request has not run while the replacement that was sent may run it.
  Scenario: a request whose replacement has been sent does not count as not run at the deadline
    Given a forwarder with 5 retries, replacements that take 5 ms and backend servers that not-run-late, silent
    When it forwards an idempotent request with a deadline of 300 ms
    Then the caller of the forwarder gets 504

  # Guards against a sent replacement that is withdrawn for lack of a further retry when the running attempt fails meanwhile.
  Scenario: a replacement that was sent answers for an attempt that fails meanwhile
    Given a forwarder with 1 retry, replacements that take 5 ms and backend servers that answer-503-late, answer-late
    When it forwards an idempotent request
    Then the caller of the forwarder gets 200 with whole
    And 1 retry is used up and no capacity is taken

  # Guards against a response that is abandoned although its replacement has no time left.
  Scenario: a low-confidence response is delivered when its replacement is reserved too late
    Given a forwarder with 5 retries, replacements that take 230 ms by the clock and backend servers that stream-low-confidence, stream
    When it forwards a stream with a choice of models and a deadline of 250 ms
    Then the caller of the forwarder gets 200 with the events 1, 2, 3, 4 and the end
    And no retry is used up and no capacity is taken

  # Guards against a retry that is not returned when its attempt replaces one that was never sent.
  Scenario: a replacement of an attempt that is still connecting uses no retry
    Given a forwarder with 5 retries, replacements that take 5 ms and backend servers that connect-never, stream
    When it forwards a stream
    Then the caller of the forwarder gets 200 with the events 1, 2, 3, 4 and the end
    And no retry is used up and no capacity is taken

  # Guards against an attempt that is abandoned for a replacement that the limit of connections then refuses.
  Scenario: a replacement that is connected is used after the last connection that may fail
    Given a forwarder with 5 retries, replacements that take 5 ms and backend servers that refuse, refuse, refuse, connect-never, stream
    When it forwards a stream
    Then the caller of the forwarder gets 200 with the events 1, 2, 3, 4 and the end
    And no retry is used up and no capacity is taken

  # Guards against a response that is sent to a caller that has got another one, because it waited for its replacement.
  Scenario Outline: a response of backend servers that <behaviour> is not sent once the deadline has passed
    Given a forwarder with 5 retries, replacements that take 400 ms and backend servers that <behaviour>, stream
    When it forwards <request> with a choice of models and a deadline of 200 ms
    Then the caller of the forwarder gets 504
    And no retry is used up and no capacity is taken

    Examples:
      | behaviour             | request               |
      | stream-low-confidence | a stream              |
      | answer-500            | an idempotent request |

  # Guards against a short answer that was ready, or still arriving, and is lost to an escalation that fails, against two
  # answers to one request, and against a truncated answer that is delivered as complete.
  Scenario Outline: backend servers that <behaviours> leave the caller with <result>
    Given a forwarder with 2 retries, replacements that take 5 ms and backend servers that <behaviours>
    When it forwards a stream with a choice of models and a deadline of 400 ms
    Then the caller of the forwarder gets <result>
    And <used> retry is used up and no capacity is taken

    Examples:
      | behaviours                               | result                                     | used |
      | stream-low-confidence, answer-500        | 200 with the events 1, 2, 3, 4 and the end | 2    |
      | stream-low-confidence, silent            | 200 with the events 1, 2, 3, 4 and the end | 2    |
      | stream-low-confidence, stream-head-reset | 200 with the events 1, 2, 3, 4 and the end | 2    |
      | stream-low-confidence, stream            | 200 with the events 1, 2, 3, 4 and the end | 1    |
      | stream-low-confidence, stream-gap        | 200 1 2 cut                                | 2    |
      | stream-low-confidence-break, answer-500  | 500 with failed                            | 2    |
      | stream-low-confidence-slow, answer-500   | 200 with the events 1, 2, 3, 4 and the end | 2    |
      | stream-low-confidence-slow, answer-503   | 200 with the events 1, 2, 3, 4 and the end | 2    |
      | stream-low-confidence, answer-404        | 200 with the events 1, 2, 3, 4 and the end | 1    |

  # Guards against a failure of the larger model that waits until the deadline for a kept answer that never ends.
  Scenario: a kept answer that stalls does not hold back an error response
    Given a forwarder with 2 retries, replacements that take 5 ms and backend servers that stream-low-confidence-stall, answer-500
    When it forwards a stream with a choice of models and a deadline of 1500 ms
    Then the caller of the forwarder gets 500 with failed
    And 2 retry is used up and no capacity is taken

  # Guards against deadlines that count as failures of a backend server, and discarded answers that count as whole ones.
  Scenario Outline: attempts at backend servers that <behaviours> are observed as <ends>
    Given a forwarder with <retries> retries, replacements that take 5 ms and backend servers that <behaviours>
    When it forwards a stream with a choice of models and a deadline of 300 ms
    Then its attempts are observed as <ends>

    Examples:
      | behaviours                    | retries | ends                 |
      | stream-low-confidence, stream | 2       | escalated, completed |
      | silent, stream                | 0       | deadline             |
      | silent, stream                | 2       | failed, completed    |

  # Guards against good servers that are suspended because callers gave little time, and against silent ones that are not.
  Scenario Outline: a connection that is not open at a deadline of <deadline> ms leaves <count> recorded as failed
    Given a forwarder with 0 retries, replacements that take 5 ms and backend servers that connect-never, stream
    When it forwards a stream with a choice of models and a deadline of <deadline> ms
    Then <count> connections are recorded as failed

    Examples:
      | deadline | count |
      | 100      | 0     |
      | 900      | 1     |
