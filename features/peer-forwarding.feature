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

  # Guards against requests that wait for the decision and are refused although the backend servers are reached again.
  Scenario: requests are served after links that refuse for a moment
    Given 2 forwarding VMs with callers
    When the links of VM 1 are refused for 250 ms
    And 1500 ms pass with callers
    Then the requests at VM 1 from 0 ms after the cut are served within 600 ms

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
    And the second run has begun behind the last event of the first one

  Scenario: a stream that another VM continues is of the model that began it
    Given 2 forwarding VMs of which VM 1 is cut off
    When VM 2 gets a cascade handed on by VM 1 behind event 5 of the model "large"
    Then its run begins with event 6 of the model "large"

  # Guards against requests that go round among VMs which are all cut off, and against waits for a service that is gone.
  Scenario Outline: <state> links of all VMs make no request go round
    Given 3 forwarding VMs with callers
    When the links of VMs 1, 2, 3 become <state>
    And 6500 ms pass with callers
    Then the requests at VM 1 from 4500 ms after the cut are refused within <time> ms
    And no request has been handed on from 4500 ms after the cut

    Examples:
      | state   | time |
      | silent  | 1700 |
      | refused | 100  |

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

  # Guards against a cut of one service that makes requests of the others take the longer way.
  Scenario: a VM that is cut off from one service sends the requests of another one itself
    Given 2 forwarding VMs with callers
    When the links of VM 1 to the first service become refused
    And 3000 ms pass with callers
    And VM 1 gets a read of the second service
    Then the answer has status 200
    And it was not handed on, but others were

  # Guards against a VM that goes on to use others when its own way is back.
  Scenario: a VM whose links are back sends requests itself within 2500 ms
    Given 2 forwarding VMs of which VM 1 is cut off
    When the links of VM 1 become open
    And 4500 ms pass with callers
    Then the requests at VM 1 from 0 ms after the cut are served within 400 ms
    And no request has been handed on from 2500 ms after the cut

  # Guards against requests that are lost because the VM they are handed to has just ended and still counts as live.
  Scenario: a VM that has ended does not make requests of a VM that is cut off fail
    Given 3 forwarding VMs of which VM 1 is cut off
    When VM 2 ends
    And 1500 ms pass with callers
    Then the requests at VM 1 from 0 ms after the end of VM 2 are served within 700 ms

  # Guards against requests judged by what is no longer valid, and against requests that fail at such a VM.
  Scenario: a VM with an older configuration refuses, and the request goes on
    Given 3 forwarding VMs of which VM 1 is cut off
    When VM 2 does not take version 2 of the configuration, which the others have
    And 1000 ms pass with callers
    Then the requests at VM 1 from 0 ms after the change are served within 400 ms
    And VM 1 has got the refusal "vm_outdated" from VM 2

  # Guards against a stop that cuts what was handed on, on either side.
  Scenario Outline: a stop of <vm> ends no request that was handed on
    Given 3 forwarding VMs of which VM 1 is cut off
    When VM 1 gets an order with the task late 1500
    And the request runs
    And <vm> is stopped
    Then the answer has status 200
    And it has run 1 time

    Examples:
      | vm                     |
      | VM 1                   |
      | the VM that serves it  |

  # Guards against bytes that are lost, doubled or framed in another way between the VMs.
  Scenario Outline: <body> arrives byte for byte
    Given 2 forwarding VMs of which VM 1 is cut off
    When VM 1 gets <body>
    Then the answer has status 200
    And the backend server got the same bytes and a length

    Examples:
      | body                           |
      | an order of 1500000 bytes      |
      | a chunked order of 90000 bytes |
      | an order of 0 bytes            |

  Scenario Outline: a <method> request without a body is handed on
    Given 2 forwarding VMs of which VM 1 is cut off
    When VM 1 gets a <method> request
    Then the answer has status 200
    And it has run 1 time

    Examples:
      | method |
      | GET    |
      | HEAD   |

  # Guards against a stream that is collected on its way, and against a slow reader for whom two VMs hold a whole stream.
  Scenario: events are passed on one by one
    Given 2 forwarding VMs of which VM 1 is cut off
    When VM 1 gets a stream with the task gap 100
    And the caller has got 1 events
    Then fewer than 4 events have been written
    And the caller gets every event once

  Scenario: a slow reader stops the stream behind the second VM
    Given 2 forwarding VMs of which VM 1 is cut off
    When VM 1 gets a stream with the task bytes 300000, events 300, gap 1
    And the caller reads nothing for 1000 ms
    Then fewer than 150 events have been written
    And the caller gets every one of 300 events once

  # Guards against errors that get another meaning at the second VM.
  Scenario Outline: <task> at the backend servers gives an order <status> through another VM
    Given 2 forwarding VMs of which VM 1 is cut off
    When VM 1 gets an order with the task <task>
    Then the answer has status <status>
    And it has run <runs> times
    And it has a time to return: <retry>

    Examples:
      | task       | status | runs | retry |
      | status 500 | 500    | 1    | no    |
      | break      | 502    | 1    | no    |
      | unframed reset | 502 | 1   | no    |

  Scenario: an answer without a length has none for the caller behind two VMs
    Given 2 forwarding VMs of which VM 1 is cut off
    When VM 1 gets an order with the task unframed
    Then the answer has status 200
    And the answer has neither a length nor a statement of a VM

  # Guards against an order that runs again because a backend server's answer looks like a refusal of the second VM.
  Scenario: an answer with the name of an error of a VM is passed on
    Given 3 forwarding VMs of which VM 1 is cut off
    When VM 1 gets an order with the task error vm_leaving
    Then the answer has status 200
    And it has run 1 time

  # Guards against requests that run more often than their route permits, because two VMs count.
  Scenario: both VMs together stay within the attempts of a route
    Given 3 forwarding VMs of which VM 1 is cut off
    When VM 1 gets a read with the task break
    Then the answer has status 502
    And it has run at most 3 times

  Scenario: both VMs together stay within the attempts of a route when the second VM ends
    Given 3 forwarding VMs of which VM 1 is cut off
    When VM 1 gets a read with the task late 200, break
    And the request has run 2 times
    And the VM that serves it ends
    Then the answer has status 502
    And it has run at most 3 times

  # Guards against a circle, and against requests that run against what the VM that sends them knows.
  Scenario Outline: a VM that gets a request of another one <situation>
    Given 3 forwarding VMs of which VM 1 is cut off
    When VM <vm> gets <statement> of VM 3
    Then the answer has status <status>
    And it names the error "<error>"
    And it has run 0 times

    Examples:
      | situation                        | vm | statement                                      | status | error           |
      | refuses it while it is cut off   | 1  | an order handed on                             | 503    | vm_cut_off      |
      | refuses a newer configuration    | 2  | an order handed on with configuration 9        | 503    | vm_outdated     |
      | refuses a withdrawn key          | 2  | an order handed on with the key old-key        | 401    | unauthenticated |
      | keeps to the attempts            | 2  | an order handed on after 3 attempts            | 503    | permit_refused  |

  Scenario: a VM that gets a request of another one keeps to its time
    Given 2 forwarding VMs of which VM 1 is cut off
    When VM 2 gets an order handed on with 300 ms of VM 1
    Then the answer has status 504 within 400 ms
    And it names the error "backend_timeout"

  # Guards against callers who make a VM refuse, or limit, their own or others' requests.
  Scenario: a forged statement is a header of the caller
    Given 2 forwarding VMs of which VM 1 is cut off
    When VM 1 gets an order handed on with a forged statement of VM 2
    Then the answer has status 200
    And it has run 1 time

  Scenario: a forged statement does not hide that of the VM that hands on
    Given 2 forwarding VMs of which VM 1 is cut off
    When VM 1 gets a busy order handed on with a forged statement of VM 2
    Then the answer has status 503
    And it has a time to return: yes

  # Guards against requests within the limits that the second VM refuses because of the headers that the first one adds.
  Scenario: headers just within the limit are handed on
    Given 2 forwarding VMs of which VM 1 is cut off
    When VM 1 gets an order with 3900 bytes of headers
    Then the answer has status 200

  # Guards against a key that goes on to work at a VM which does not know yet that it has been withdrawn.
  Scenario: a key that only the second VM knows to be withdrawn is refused
    Given 2 forwarding VMs of which VM 1 is cut off
    When VM 1 does not take version 2 of the configuration, which withdraws the key
    And VM 1 gets an order
    Then the answer has status 401
    And it has run 0 times

  # Guards against retries that two VMs count, or none.
  Scenario: a request that is handed on counts for the retries of the VM that sends it
    Given 3 forwarding VMs without retries of their own, of which VM 1 is cut off
    When 1500 ms pass with callers
    And VM 1 gets a read with the task break
    Then the answer has status 502
    And it has run 2 times

  # Guards against a refusal of a further VM that tells the caller nothing has run, after the first one may have run the request.
  Scenario: a key that is withdrawn after a lost run gives 502
    Given 3 forwarding VMs of which VM 1 is cut off
    When VM 1 gets a read with the task late 1000
    And the request runs
    And VM 1 does not take version 2 of the configuration, which withdraws the key
    And the VM that serves it ends
    Then the answer has status 502
    And it has run 1 time
