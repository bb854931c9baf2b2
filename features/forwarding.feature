@forwarding
Feature: Forwarding of callers' requests

  # Guards, among others, against a status that promises that a request was not run although a backend server has run it.
  Scenario Outline: a <kind> request gets status <status> from backend servers that <behaviours>
    Given a forwarding VM with 2 backend servers that <behaviours>
    When a caller sends a request to /<kind>/1
    Then the caller gets status <status> with the body "<body>"
    And the backend servers received <received> requests

    Examples:
      | kind  | behaviours                          | status | body   | received |
      | order | answer                              | 200    | whole  | 1        |
      | order | answer-500                          | 500    | failed | 1        |
      | order | reset                               | 502    | -      | 1        |
      | order | not-run                             | 503    | -      | 1        |
      | order | answer-503                          | 502    | -      | 1        |
      | order | answer-429                          | 502    | -      | 1        |
      | order | answer-408                          | 502    | -      | 1        |
      | order | misdirected                         | 503    | -      | 2        |
      | order | cut-body                            | 502    | -      | 1        |
      | order | foreign-id                          | 502    | -      | 1        |
      | order | encoded                             | 502    | -      | 1        |
      | order | no-mark                             | 502    | -      | 1        |
      | order | garbage                             | 502    | -      | 1        |
      | order | no-length-reset                     | 502    | -      | 1        |
      | order | no-length-reset-at-once             | 502    | -      | 1        |
      | order | extra-answer                        | 200    | whole  | 1        |
      | order | low-status                          | 502    | -      | 1        |
      | order | many-fields                         | 502    | -      | 1        |
      | order | zero-status                         | 502    | -      | 1        |
      | order | status-600                          | 502    | -      | 1        |
      | order | status-999                          | 502    | -      | 1        |
      | order | switch-protocols                    | 502    | -      | 1        |
      | order | empty-header-name                   | 502    | -      | 1        |
      | read  | low-status, answer                  | 200    | whole  | 2        |
      | short | silent                              | 504    | -      | 1        |
      | read  | answer                              | 200    | whole  | 1        |
      | read  | reset, answer                       | 200    | whole  | 2        |
      | read  | not-run, answer                     | 200    | whole  | 2        |
      | read  | answer-500, answer                  | 200    | whole  | 2        |
      | read  | cut-body, answer                    | 200    | whole  | 2        |
      | read  | foreign-id, answer                  | 200    | whole  | 2        |
      | read  | silent, answer                      | 200    | whole  | 2        |
      | read  | answer-500                          | 500    | failed | 3        |
      | read  | answer-503, answer                  | 200    | whole  | 2        |
      | read  | answer-429                          | 502    | -      | 3        |
      | stream | answer-503                         | 502    | -      | 3        |
      | read  | reset                               | 502    | -      | 3        |

  # Guards against requests that fail because the entries of replaced backend servers use up their attempts and retries, or that visit all of them.
  Scenario Outline: a <kind> request with <retries> left gets status <status> from <count> backend servers that <behaviours>
    Given a forwarding VM with <count> backend servers and <retries> left that <behaviours>
    When a caller sends a request to /<kind>/1
    Then the caller gets status <status> with the body "<body>"
    And the backend servers received <received> requests

    Examples:
      | kind  | retries    | count | behaviours                                             | status | body  | received |
      | order | no retries | 5     | misdirected, misdirected, misdirected, answer          | 200    | whole | 4        |
      | read  | no retries | 5     | misdirected, misdirected, misdirected, not-run, answer | 503    | -     | 4        |
      | read  | one retry  | 5     | not-run, misdirected, misdirected, misdirected, answer | 200    | whole | 5        |
      | order | no retries | 12    | misdirected                                            | 503    | -     | 9        |

  # Guards against callers that take backend servers out by naming models that do not exist.
  Scenario Outline: a request with <model> takes no backend server out
    Given a forwarding VM with 1 backend servers that misdirected
    When a caller sends a request with <model>
    Then the caller gets status <status> with the body "-"
    When a caller sends a request to /order/1
    Then the backend servers received <received> requests

    Examples:
      | model                         | status | received |
      | an unknown model on a cascade | 421    | 1        |
      | an unknown model              | 503    | 4        |

  # Guards against a process that ends with all open requests when the handling of one request throws.
  Scenario: an unexpected error fails one request only
    Given a forwarding VM with 1 backend servers that stream-slow, trailer, answer
    When a caller sends a request to /stream/1, and meanwhile callers send one to /order/1 and one to /order/2
    Then the callers get the statuses 500, 200, 200
    And the VM has logged 1 error

  Scenario Outline: a stream from backend servers that <behaviours> arrives complete
    Given a forwarding VM with 2 backend servers that <behaviours>
    When a caller sends a request to /stream/1
    Then the caller gets every event once and the end of the stream
    And the backend servers received <received> requests

    Examples:
      | behaviours                       | received |
      | stream                           | 1        |
      | stream-slow                      | 1        |
      | stream-break-mid-event, stream   | 2        |
      | stream-gap, stream               | 2        |
      | stream-no-length, stream         | 2        |
      | stream-stall, stream             | 2        |
      | stream-stall-ping, stream        | 2        |
      | stream-comment-crash             | 1        |
      | stream-empty-header-name, stream | 2        |
      | reset, stream                    | 2        |
      | silent, stream                   | 2        |

  Scenario: a comment before the first event reaches the caller with it
    Given a forwarding VM with 1 backend servers that stream-comment-crash
    When a caller sends a request to /stream/1
    Then the caller gets every event once and the end of the stream
    And the response contains the comment ": wait" before its first event

  Scenario: an accepted stream is resumed on another backend server even if its key has been withdrawn
    Given a forwarding VM with 2 backend servers that stream-stall, stream
    When a caller sends a request to /stream/1 and its key is withdrawn after 100 ms
    Then the caller gets every event once and the end of the stream

  # Guards against requests that share a deadly prompt part and crash one backend server after the other, also if these send a comment first.
  Scenario Outline: a prompt part on which backend servers <crash> is refused, and prompts with its other parts are served
    Given a forwarding VM with 4 backend servers that <crash>
    When a caller sends the prompt shared,topic,deadly,own-1
    Then the caller gets status 502 with the body "-"
    And the backend servers received 2 requests
    When a caller sends the prompt shared,topic,own-2
    Then the caller gets every event once and the end of the stream
    When a caller sends the prompt shared,other,deadly,own-3
    Then the caller is told to come back when the first quarantine ends
    And the backend servers received 3 requests
    When a caller sends the prompt shared,other,deadly,own-3 after the first quarantine
    Then the caller gets status 502 with the body "-"
    And the backend servers received 4 requests
    When a caller sends the prompt shared,third,deadly,own-4
    Then the caller is told to come back when the quarantine ends
    And the backend servers received 4 requests

    Examples:
      | crash                 |
      | stream-crash          |
      | stream-comment-crash  |
      | stream-headless-crash |

  # Guards against sound prompts that are refused because a backend server has reset their connections after the head.
  Scenario: a prompt whose streams backend servers reset without a crash is not quarantined
    Given a forwarding VM with 4 backend servers that stream-head-reset, stream-head-reset, stream
    When a caller sends the prompt shared,topic,own-1
    Then the caller gets every event once and the end of the stream
    And the backend servers received 3 requests

  # Guards against a VM that starts after the crashes, or restarts, and sends the deadly part to engines again.
  Scenario: a VM that starts later refuses a quarantined prompt part
    Given a forwarding VM with 4 backend servers that stream-crash
    When a caller sends the prompt shared,topic,deadly,own-1
    And a caller sends the prompt shared,topic,own-2
    And a caller sends the prompt shared,other,deadly,own-3 after the first quarantine
    Then the store holds 1 quarantine
    When all VMs are replaced by a new one
    And a caller sends the prompt shared,other,deadly,own-4
    Then the caller is told to come back when the quarantine ends
    And the backend servers received 4 requests

  # Guards against a request that crashes each backend server that runs it and comes again under other ids.
  Scenario Outline: a request to <path> that crashes backend servers is refused when it comes again, and others of its route are served
    Given a forwarding VM with 5 backend servers that crash
    When a caller sends a request to <path> until it is refused
    Then the backend servers received 2 requests
    When a caller sends a request to <other>
    Then the caller gets status 200
    When the request to <path> comes again after its first quarantine
    Then the backend servers received <received> requests
    When a caller sends a request to <path>
    Then the caller is told to come back when the quarantine ends
    And the backend servers received <received> requests
    And the store holds 1 quarantine
    When a caller sends a request to <other>
    Then the caller gets status 200

    Examples:
      | path              | other     | received |
      | /read/deadly      | /read/1   | 4        |
      | /order/deadly     | /order/1  | 4        |
      | /read/deadly-late | /read/1   | 4        |
      | /stream/deadly    | /stream/1 | 4        |

  # Guards against sound requests that are refused because a backend server has reset their connections.
  Scenario: a request whose connections backend servers reset without a crash is not quarantined
    Given a forwarding VM with 4 backend servers that reset, reset, reset, reset, answer
    When 2 callers send a request to /order/1 and 3 more after 300 ms
    Then the caller gets status 200 with the body "whole"
    And the backend servers received 5 requests

  # Guards against sending more to a backend server in need than the limit that its answers name.
  Scenario: a backend server that names a limit of 2 requests a second gets 8 in 4 s
    Given a forwarding VM with a backend server that answer-limited and has 64 slots
    When a caller sends a request to /read/1
    And 30 callers send a request to /read/1
    Then the backend servers received 9 requests
    And the caller waited at most 1500 ms

  Scenario: the limit of a backend server ends with the first answer that names none
    Given a forwarding VM with a backend server that answer-limited, answer and has 64 slots
    When 2 callers send a request to /read/1 and 30 more after 100 ms
    Then the backend servers received 32 requests

  # Guards against requests to a backend server that has said in an answer that it leaves, while its entry says otherwise.
  Scenario: a backend server that announces its departure in an answer gets no more requests until it starts anew
    Given a forwarding VM with 2 backend servers that answer-leaving, answer
    When a caller sends a request to /read/1
    And 12 callers send a request to /read/1
    And the entries of the backend servers are written again
    And 12 callers send a request to /read/1
    Then one backend server received 1 request and the others 24
    When the backend servers start anew under their ids
    And 12 callers send a request to /read/1
    Then each backend server received more than 1 request

  # Guards against requests to a backend server during the pause that it asked for, and against one that is left out for longer.
  Scenario: a backend server that asks for a pause gets no requests meanwhile
    Given a forwarding VM with 2 backend servers that not-run-pause, answer
    When a caller sends a request to /read/1
    And 12 callers send a request to /read/1
    Then one backend server received 1 request and the others 13
    When 900 ms pass for the VM
    And 12 callers send a request to /read/1
    Then each backend server received more than 1 request

  # Guards against whole streams that reach the caller as a broken connection, because only their own connection marks their end.
  Scenario: a whole stream without a length that cannot be resumed arrives complete
    Given a forwarding VM with 2 backend servers that stream-unframed
    When a caller sends a request to /once/1
    Then the caller gets every event once and the end of the stream
    And the backend servers received 1 request

  Scenario Outline: a stream without a length that cannot be resumed is visibly truncated if it is a <behaviour>
    Given a forwarding VM with 2 backend servers that <behaviour>
    When a caller sends a request to /once/1
    Then the caller's response ends without the last chunk
    And the backend servers received 1 request

    Examples:
      | behaviour             |
      | stream-unframed-part  |
      | stream-unframed-reset |
      | stream-unframed-reset-at-once |
      | stream-unframed-crash |

  Scenario: a stream that cannot be resumed is visibly truncated
    Given a forwarding VM with 1 backend servers that stream-break-mid-event
    When a caller sends a request to /stream/1
    Then the caller's response ends without the last chunk

  Scenario: a response without a length is forwarded without a length
    Given a forwarding VM with 1 backend servers that no-length
    When a caller sends a request to /order/1
    Then the caller gets status 200 with the body "whole"
    And the response has neither a length nor chunked encoding

  Scenario: a low-confidence response of the small model is replaced before any of it is sent to the caller
    Given a forwarding VM with 2 backend servers that stream-low-confidence, stream
    When a caller sends a request to /cascade/1
    Then the caller gets every event once and the end of the stream
    And the backend servers were asked for the models small, large

  # Guards against discarding a response when no other attempt can replace it.
  Scenario Outline: a response with <behaviour> is not abandoned when <obstacle>
    Given a forwarding VM with <servers> that <behaviour>
    When a caller sends a request to <path>
    Then the caller gets every event once and the end of the stream
    And the backend servers received 1 request

    Examples:
      | behaviour             | obstacle                         | servers                                | path       |
      | stream-pause          | there is no other backend server | 1 backend servers                      | /stream/1  |
      | stream-pause          | the retry budget is used up      | 2 backend servers and no retries left  | /stream/1  |
      | stream-low-confidence | the retry budget is used up      | 2 backend servers and no retries left  | /cascade/1 |

  # Guards against ending a running response for capacity that other VMs hold and then do not lend.
  Scenario Outline: a response with <behaviour> is not abandoned when no other VM lends capacity
    Given a forwarding VM among 20 that do not answer, which lends the limit of the first of 2 backend servers that answer, answer, <behaviour>
    When a caller sends a request to /open/1
    And a caller sends a request to /open/1
    And a caller sends a request to <path>
    Then the caller gets every event once and the end of the stream
    And the backend servers received 3 requests

    Examples:
      | behaviour             | path       |
      | stream-pause          | /stream/1  |
      | stream-late           | /stream/1  |
      | stream-low-confidence | /cascade/1 |

  # Guards against ending a running response for a backend server that has ended, too.
  Scenario Outline: a response with <behaviour> is not abandoned when the other backend server cannot be reached
    Given a forwarding VM with a backend server that <behaviour> and one that refuses connections
    When a caller sends a request to <path>
    Then the caller gets every event once and the end of the stream
    And the backend servers received 1 request

    Examples:
      | behaviour             | path       |
      | stream-pause          | /stream/1  |
      | stream-late           | /stream/1  |
      | stream-low-confidence | /cascade/1 |

  # Guards against retries that are used up by connections on which nothing was sent.
  Scenario: a broken stream is resumed with its only retry although a connection is refused
    Given a forwarding VM with one retry, a backend server that stream-break-mid-event, one that refuses connections and one that stream
    When a caller sends a request to /stream/1
    Then the caller gets every event once and the end of the stream

  # Guards against a pause of the VM's own process that is taken for the silence of a backend server.
  Scenario: a stream whose events arrived while the process was paused is not abandoned
    Given a forwarding VM and 2 backend servers that send an event each 250 ms
    When a caller sends a request to /stream/1 and the process is paused for 1000 ms after 300 ms
    Then the caller gets every event once and the end of the stream
    And the backend servers got 1 request

  Scenario: a response that arrived while the process was paused is delivered after its deadline
    Given a forwarding VM and 1 backend servers that send an event each 50 ms
    When a caller sends a request to /short/1 and the process is paused for 1000 ms after 20 ms
    Then the caller gets status 200

  Scenario: an error response of a backend server is forwarded when the retry budget is used up
    Given a forwarding VM with 2 backend servers and no retries left that answer-500
    When a caller sends a request to /read/1
    Then the caller gets status 500 with the body "failed"
    And the backend servers received 1 request

  Scenario: a non-idempotent request is retried after a refused connection
    Given a forwarding VM with 1 backend servers that answer
    And one more backend server that has crashed
    When 6 callers send a request to /order/1
    Then every caller gets status 200
    And the backend servers received 6 requests

  Scenario: a request that waited for capacity is forwarded with the remaining time only
    Given a forwarding VM with 1 backend servers that silent, silent, answer
    When 2 callers send a request to /short/1 and one more to /order/1
    Then the backend server was handed at most 2200 ms for the last request

  Scenario: a request whose key is withdrawn while it waits for capacity does not run
    Given a forwarding VM with 1 backend servers that silent, silent, answer
    When 2 callers send a request to /short/1 and one more to /order/1 whose key is withdrawn meanwhile
    Then the backend servers received 2 requests

  # Guards against requests that nobody answers when what they wait for goes away.
  Scenario Outline: a request that waits for <cause> when <change> gets status <status>
    Given a forwarding VM with 1 backend servers that silent, silent, answer
    When a caller's request to /order/1 waits for <cause> and <change>
    Then the caller gets status <status>
    And the caller waited at most 2500 ms

    Examples:
      | cause        | change                        | status |
      | capacity     | its route is removed          | 200    |
      | capacity     | its service is removed        | 200    |
      | capacity     | its team is removed           | 401    |
      | capacity     | all teams are removed         | 200    |
      | capacity     | its backend server is removed | 503    |
      | capacity     | the idle timeout is lowered   | 200    |
      | confirmation | nothing is confirmed          | 503    |

  # The confirmation may arrive after the longest wait for it.
  Scenario Outline: a request that waits for confirmation when <change> is refused
    Given a forwarding VM with 1 backend servers that answer
    When a caller's request to /order/1 waits for confirmation and <change>
    Then the caller gets status <status> or 503
    And the backend servers received 0 requests

    Examples:
      | change               | status |
      | its route is removed | 404    |
      | its team is removed  | 401    |

  # Guards against requests that wait together and all pass the check of a limit before the first of them is counted.
  Scenario: requests that wait together do not exceed the rate limit of a cold backend server
    Given a forwarding VM with a cold backend server that bears 4 requests a second and 2 more
    When 5 callers send a request to /order/1 and 15 more after 600 ms
    Then the backend server received at least 10 requests and at most 6 in any second

  Scenario: requests that wait together do not exceed the slots of a backend server
    Given a forwarding VM with 1 backend servers that stream-slow
    When 8 callers send a request to /stream/1
    Then the backend server had at most 2 requests open at the same time

  # Guards against bytes without end that are read, buffered or parsed until the deadline or the end of the memory.
  Scenario Outline: a <kind> request to a backend server with <behaviour> gets status <status> and the connection is closed
    Given a forwarding VM with 2 backend servers that <behaviour>, answer
    When a caller sends a request to /<kind>/1
    Then the caller gets status <status> with the body "<body>"
    And the caller waited at most 1500 ms
    And the backend servers' connections are closed after at most 16 MB without end

    Examples:
      | kind  | behaviour       | status | body  |
      | order | endless-head    | 502    | -     |
      | order | endless-interim | 502    | -     |
      | order | endless-bytes   | 502    | -     |
      | order | endless-body    | 502    | -     |
      | order | endless-trailer | 502    | -     |
      | read  | endless-head    | 200    | whole |
      | read  | endless-interim | 200    | whole |
      | read  | endless-bytes   | 200    | whole |
      | read  | endless-body    | 200    | whole |
      | read  | endless-trailer | 200    | whole |

  Scenario Outline: a stream with <behaviour> is resumed at another backend server
    Given a forwarding VM with 2 backend servers that <behaviour>, stream
    When a caller sends a request to /stream/1
    Then the caller gets every event once and the end of the stream
    And the backend servers' connections are closed after at most 16 MB without end

    Examples:
      | behaviour                      |
      | stream-endless-event           |
      | stream-endless-chunk-extension |
      | endless-head                   |
      | endless-interim                |
      | endless-bytes                  |

  Scenario: a stream with an event without end that cannot be resumed is truncated at once
    Given a forwarding VM with 1 backend servers that stream-endless-event
    When a caller sends a request to /stream/1
    Then the caller's response ends without the last chunk
    And the caller waited at most 1500 ms
    And the backend servers' connections are closed after at most 16 MB without end

  Scenario: a request is cancelled at the backend server when its caller disconnects
    Given a forwarding VM with 1 backend servers that silent
    When a caller sends a request to /read/1 and leaves after 100 ms
    Then the backend server's connection is closed within 500 ms
    And the backend servers received 1 request

  # Guards against work for callers that have left, which a VM under load learns some turns of its event loop too late.
  Scenario Outline: a VM whose turns take <turn> ms starts no work for callers that have left
    Given a forwarding VM with a backend server that takes 3 s
    When each turn of its event loop takes <turn> ms while 20 callers send a request and leave after 300 ms
    Then at most 3 of their requests reach the backend server over half a second later, and it works on none for so long

    Examples:
      | turn |
      | 50   |
      | 100  |

  Scenario: a leaving backend server gets no new requests
    Given a forwarding VM with 2 backend servers that answer
    When the first backend server is leaving
    And 6 callers send a request to /order/1
    Then every caller gets status 200
    And the first backend server received 0 requests

  # Guards against a backend server that gets orders for seconds after it has left, because a watch that was cut off counted as an outage.
  Scenario: a backend server whose entry is removed while the watches are cut off gets no new requests
    Given a forwarding VM with 2 backend servers that answer
    When the watches are cut off as the entry of the first backend server is removed
    And 6 callers send a request to /order/1
    Then every caller gets status 200
    And the first backend server received 0 requests

  Scenario Outline: a backend server whose entry is missing after an outage of <ms> ms gets <requests> requests
    Given a forwarding VM with 2 backend servers that answer
    When the store is away for <ms> ms and the entry of the first backend server is removed meanwhile
    And 6 callers send a request to /order/1
    Then every caller gets status 200
    And the first backend server received <requests> requests

    Examples:
      | ms   | requests |
      | 500  | no       |
      | 2000 | some     |

  Scenario: a data centre out of service gets no new requests
    Given a forwarding VM with 2 backend servers that answer
    When the data centre of the first backend server is evacuated
    And 6 callers send a request to /order/1
    Then every caller gets status 200
    And the first backend server received 0 requests

  Scenario Outline: a request with <fault> is refused and not run
    Given a forwarding VM with 1 backend servers that answer
    When a caller sends a request with <fault>
    Then the caller gets status <status> with the body "-"
    And the backend servers received 0 requests

    Examples:
      | fault                    | status |
      | no key                   | 401    |
      | an unknown key           | 401    |
      | an unknown host          | 404    |
      | an unknown path          | 404    |
      | no id                    | 400    |
      | a tab in its path        | 400    |
      | an empty header name     | 400    |
      | a space in a header name | 400    |
      | a large body             | 413    |
      | large headers            | 431    |
      | two lengths              | 400    |
      | length and chunks        | 400    |

  Scenario: a withdrawn key stops working at once
    Given a forwarding VM with 1 backend servers that answer
    When the keys are withdrawn by version 2
    And a caller sends a request to /order/1
    Then the caller gets status 401 with the body "-"

  Scenario: an older configuration is not applied
    Given a forwarding VM with 1 backend servers that answer
    When the keys are withdrawn by version 3
    And version 2 with the old keys is stored
    And a caller sends a request to /order/1
    Then the caller gets status 401 with the body "-"

  Scenario: an unreadable configuration leaves the previous one in force
    Given a forwarding VM with 1 backend servers that answer
    When an unreadable configuration is stored
    And a caller sends a request to /order/1
    Then the caller gets status 200 with the body "whole"

  Scenario: keys are refused when the store has not confirmed the configuration within the withdrawal time
    Given a forwarding VM with 1 backend servers that answer
    When the store is down for 2500 ms
    And a caller sends a request to /order/1
    Then the caller gets status 503 with the body "-"
    When a caller sends a request to /open/1
    Then the caller gets status 200 with the body "whole"
    When the store is available again
    And a caller sends a request to /order/1
    Then the caller gets status 200 with the body "whole"

  Scenario: requests are refused before the configuration is loaded
    Given a forwarding VM without configuration
    When a caller sends a request to /order/1
    Then the caller gets status 503 with the body "-"
    And the VM is not ready

  Scenario: a shutdown completes running streams
    Given a forwarding VM with 1 backend servers that stream-slow
    When a caller sends a request to /stream/1 and the VM stops meanwhile
    Then the caller gets every event once and the end of the stream
    And the VM is not ready

  # Guards against a VM that takes a whole limit as its part because it does not know the other VMs yet.
  Scenario: a VM that has not loaded the list of VMs accepts no requests
    Given a forwarding VM that cannot read the list of VMs
    When a caller sends a request to /order/1
    Then the caller gets status 503 with the body "-"
    And the VM is not ready
    When the list of VMs can be read
    Then the VM is ready

  # Guards against VMs that start together and each use the whole limit until they know each other.
  Scenario: a VM sends nothing to a cold backend server before the others know it
    Given a forwarding VM that has just started and knows a cold backend server
    When a caller sends a request to /order/1
    Then the caller gets status 503 with the body "-"
    And the backend servers received 0 requests
    And the VM is ready once the others have left its share for one window
    When a caller sends a request to /order/1
    Then the caller gets status 200 with the body "whole"

  # Guards against a fleet that serves nothing for two seconds after all VMs have lost power and come back.
  Scenario: a VM that restarts has a share again once its earlier requests do not count any more
    Given a forwarding VM that restarts and knows a cold backend server
    When a caller sends a request to /order/1
    Then the caller gets status 200 with the body "whole"
    And the VM is ready, and has sent its first request, once nothing that it sent before counts any more

  # Guards against a process that was paused while it connected and sends a request by permissions that have run out meanwhile.
  Scenario Outline: a request is <result> if the clock shows <ms> ms between its checks and its connection
    Given a forwarding VM with a backend server, whose clock shows <ms> ms between two readings
    When a caller sends a request to /open/1
    Then the caller gets status <status> with the body "<body>"
    And the backend servers received <received> requests

    Examples:
      | ms   | result   | status | body  | received |
      | 1    | sent     | 200    | whole | 1        |
      | 3000 | not sent | 503    | -     | 0        |

  # Guards against kept connections that are closed by a stop at the moment at which their callers send the next request.
  Scenario: a VM that stops answers every request on the kept connections of 500 callers
    Given a forwarding VM with 4 backend servers that answer
    When 500 callers send requests on kept connections and the VM stops
    Then no connection ended without an answer to a request that had been sent
    And every caller was told to close its connection or found it closed while it was idle

  # Guards against requests that run behind a response that ends their connection.
  Scenario Outline: <count> requests to <path> that are written at once are answered one after the other
    Given a forwarding VM with a backend server that answer-late and has 64 slots
    When a caller writes <count> requests to <path> at once
    Then the caller gets the statuses 200, 200, 200
    And only the last response closes the connection
    And the backend servers received <count> requests
    And the backend server had at most 1 requests open at the same time

    Examples:
      | count | path     |
      | 3     | /read/1  |
      | 3     | /order/1 |

  Scenario: requests that are written at once while a VM stops are all answered
    Given a forwarding VM with 8000 ms of grace and a backend server that answer-late
    When a caller writes 3 requests to /order/1 at once while the VM stops
    Then the caller gets the statuses 200, 200, 200
    And only the last response closes the connection
    And the backend servers received 3 requests

  Scenario: no request runs behind a response without a length
    Given a forwarding VM with a backend server that no-length and has 64 slots
    When a caller writes 3 requests to /order/1 at once
    Then the caller gets the statuses 200 and then the end of the connection
    And the backend servers received 1 request

  Scenario: a request that arrives behind the start of a response that closes the connection does not run
    Given a forwarding VM with 8000 ms of grace and a backend server that stream-slow
    When a caller writes a request to /stream/1 while the VM stops, and another one when its response starts
    Then the caller gets the statuses 200 and then the end of the connection
    And the backend servers received 1 request

  Scenario: requests beyond those that may wait on a connection are refused
    Given a forwarding VM with a backend server that answer and has 64 slots
    When a caller writes 40 requests to /order/1 at once
    Then the caller gets status 200 17 times and status 503 with the delay of a retry
    And only the last response closes the connection
    And the backend servers received 17 requests

  # Guards against an error response that takes the place of the responses to earlier requests.
  Scenario Outline: requests before <bytes> are answered first
    Given a forwarding VM with a backend server that <behaviour> and has 64 slots
    When a caller writes <count> requests to <path> at once and <bytes>
    Then the caller gets the statuses <statuses>
    And the backend servers received <count> requests

    Examples:
      | behaviour    | count | path      | bytes                     | statuses      |
      | answer-late  | 1     | /order/1  | bytes that are no request | 200, 400      |
      | answer-late  | 2     | /order/1  | bytes that are no request | 200, 200, 400 |
      | stream-pause | 2     | /stream/1 | a part of a head          | 200, 200, 408 |

  # Guards against an error response that takes the place of the only response that is due on the connection.
  Scenario: a request that closes its connection is answered although another one follows it
    Given a forwarding VM with a backend server that answer-late and has 64 slots
    When a caller writes a request to /order/1 that closes the connection, and another one
    Then the caller gets the statuses 200 and then the end of the connection
    And the backend servers received 1 requests

  # Guards against a status that promises that a request has not run, and runs it.
  Scenario: a request whose head is late gets 408 and does not run when the rest of it arrives
    Given a forwarding VM with a backend server that answer and has 64 slots
    When a caller writes a part of a request to /order/1, and the rest when the response starts
    Then the caller gets the statuses 408 and then the end of the connection
    And the backend servers received 0 requests

  # Guards against requests that count as open after their connection has ended.
  Scenario: a stop does not wait for requests whose caller has left while they waited
    Given a forwarding VM with 8000 ms of grace and a backend server that silent
    When a caller writes 3 requests to /order/1 at once and leaves
    Then a stop takes at most 5000 ms
    And the backend servers received 1 request

  # Guards against a process that is killed because its stop lasts longer than the grace time.
  Scenario Outline: a stop with an open request ends before the grace time when <state>
    Given a forwarding VM with 8000 ms of grace and a backend server that silent
    And <state>
    When a caller waits for the response to /long/1
    Then a stop takes at most 7600 ms
    And the VM is <registered>

    Examples:
      | state                              | registered     |
      | its store does not answer removals | registered     |
      | its event loop is slow             | not registered |

  # Guards against requests that are accepted so late in a stop that the process ends before they can be answered.
  Scenario: a request that comes late in a stop with a short grace time is refused and not run
    Given a forwarding VM with 3000 ms of grace and a backend server that answer-after-1500-ms
    When a caller writes 1 requests to /order/1 at once 2000 ms after the VM began to stop
    Then the caller gets the statuses 503 and then the end of the connection
    And the backend servers received 0 requests

  # Guards against other VMs that take over the parts of limits that a leaving VM still uses.
  Scenario: a leaving VM stays registered until nothing that it has sent counts against a limit
    Given a forwarding VM with 8000 ms of grace and a backend server that answer
    When the VM begins to stop
    Then the VM is registered
    When the VM accepts no more requests
    Then the VM is registered
    When the window of the rate limits has passed
    Then the VM is not registered

  # Guards against configurations that come back older, and against later ones that never come into force.
  Scenario: a VM keeps its configuration when the store is restored from an older copy, and follows the next one
    Given a forwarding VM with 1 backend servers that answer
    When a copy of the store is kept
    And a configuration without the key is stored
    And the store is restored from the copy
    Then no key is accepted for 1500 ms
    When a caller sends a request to /order/1
    Then the caller gets status 401
    When 4500 ms pass for the VM
    And a caller sends a request to /order/1
    Then the caller gets status 401
    When a configuration with the key is stored
    And a caller sends a request to /order/1
    Then the caller gets status 200

  # Guards against keys that are taken as proven by a store that lacks the latest configuration.
  Scenario: a store that was restored to an older configuration proves no keys until the latest one is written again
    Given a forwarding VM with 1 backend servers that answer
    When a copy of the store is kept
    And a configuration with the key is stored
    And the store is restored from the copy for 1400 ms
    And a caller sends a request to /order/1
    Then the caller gets status 503
    When a configuration with the key is stored
    And a caller sends a request to /order/1
    Then the caller gets status 200

  # Guards against a VM that takes up withdrawn keys from an older copy of the store. Its first requests wait until it has the newer one.
  Scenario: a VM that starts after the store was restored gets the newer configuration from the others
    Given a forwarding VM with 1 backend servers that answer
    When a copy of the store is kept
    And a configuration without the key is stored
    And the store is restored from the copy
    And a second VM starts
    Then the second VM refuses the key and never accepts it

  # Guards against a fleet that does not find itself again, and forgets quarantines, after the store was restored.
  Scenario: a VM writes its objects again when the store was restored from a copy without them
    Given a copy of the store from before the start of a VM with 4 backend servers that stream-crash
    When a caller sends the prompt shared,topic,deadly,own-1
    And a caller sends the prompt shared,topic,own-2
    And a caller sends the prompt shared,other,deadly,own-3 after the first quarantine
    Then the store holds 1 quarantine
    When the store is restored from the copy
    Then the VM is registered
    And the store holds 1 quarantine
    And the store has the same key of the links

  # Guards against running work that is given up or started again elsewhere, because those who tell of its backend server are silent.
  Scenario Outline: an order that runs is neither given up nor run again while <silence>
    Given a forwarding VM with 2 backend servers that answer-after-1500-ms
    When a caller sends a request to /order/1 and <silence> meanwhile
    Then the caller gets status 200 with the body "whole"
    And the backend servers received 1 request

    Examples:
      | silence                                     |
      | the store is silent                         |
      | the entry of its backend server is gone     |
      | the entries of all backend servers are gone |

  Scenario Outline: a sound stream goes on while <silence>
    Given a forwarding VM with 2 backend servers that stream-slow
    When a caller sends a request to /stream/1 and <silence> meanwhile
    Then the caller gets every event once and the end of the stream
    And the backend servers received 1 request

    Examples:
      | silence                                     |
      | the store is silent                         |
      | the entry of its backend server is gone     |
      | the entries of all backend servers are gone |
