@resource-limits-decisions
Feature: Decisions of the resource limits

  # Guards against a budget that stays charged, or rooms that are given out beyond it.
  Scenario: no sequence of claims leaves bytes behind or grows past the budget
    Then the budget holds for random sequences of claims

  # Guards against slow callers that lose their bodies while nobody needs the room, or keep it while others do.
  Scenario Outline: a body with <progress> is <outcome> while <others>
    Given a byte budget that one body has filled
    When it makes <progress> for 5 s while <others>
    Then it is <outcome>

    Examples:
      | progress       | others             | outcome              |
      | no progress    | nobody waits       | kept                 |
      | no progress    | another body waits | given up as no_progress |
      | 7 bytes per ms | nobody waits       | kept                 |

  # Guards against a port on which silent connections keep out the ones with requests.
  Scenario: the longest silent connection makes room, and one with an open request never does
    Then a full connection limit closes silent, then idle connections and refuses when all are busy

  # Guards against chunks that cost more memory than their bytes.
  Scenario: chunks of any size are kept in blocks of about their bytes
    Then blocks of random chunks hold the same bytes at under twice their cost

  # Guards against pieces between large chunks that each take a block of the largest size.
  Scenario: a byte between two large chunks takes a small block
    Then 32 chunks of 32 KB with a byte after each cost at most 1.1 times their bytes

  # Guards against read buffers whose bytes were copied and that take memory beside the budget.
  Scenario: copied bytes of a large body take room until they are collected
    Given a byte budget that one body has filled
    When it frees 1.5 MB and 1.5 MB of its bytes are copied
    Then it may receive more only after a collection

  # Guards against a slow reader of a stream that is charged many times what it holds, and against a listener for each event.
  Scenario: a caller that does not read a stream is charged what waits for it, until it reads
    Then a caller that does not read 500 events of 1 KB is charged at most 600 KB, and nothing once it has read them

  # Guards against a request whose failed attempts stay charged while it is repeated.
  Scenario: a response that is truncated leaves nothing charged
    Then a response that ends after 100 KB of 200 KB is charged while it arrives and not afterwards

  # Guards against callers that lose their bodies to a request that needs no more room.
  Scenario: a body that is complete waits for room no more
    Given a byte budget that one body has filled
    When another body arrives completely and 5 s pass
    Then it is kept

  # Guards against a ready answer that is cut off although its caller reads it.
  Scenario: a large response whose caller reads it slowly is kept while another body waits
    Given a byte budget that one body has filled
    When its request is answered with 32 MB and another body waits for 10 s while the caller reads 7 bytes per ms
    Then the caller gets the whole response

  # Guards against running requests whose responses wait for each other until their deadlines.
  Scenario: responses that exceed the budget together are completed one after another
    Then 5 responses of 4 MB that arrive at once within a budget of 12 MB are all complete after 10 s, with at most 16.5 MB in use

  # Guards against ordinary requests that wait for seconds behind bodies in one-byte chunks: a read of one takes 33 ms.
  Scenario Outline: an ordinary connection behind a crowd with tiny chunks that <sends> is read after a few reads of the crowd
    Then a connection behind 120 with tiny chunks that <sends> is read after at most 7 of their reads, and each of them at least <reads> times in 1000 turns

    Examples:
      | sends                    | reads |
      | sends at once            | 2     |
      | sends when all have come | 2     |
      | keeps coming             | 1     |

  # Guards against a new connection that is read although its turn has not come.
  # Guards against senders without end that take all of a VM's time, or keep a sound response waiting behind them.
  Scenario: 50 backend servers that send small pieces without end share a rate, and a sound response goes on before them
    Given 50 connections that bring 8000 steps at each read
    When a connection brings 600 steps once
    Then it is read again after at most 1001 ms
    And the 50 connections bring at most 108000 steps in the next 10 s

  Scenario: a turn that brought too much ends for all connections and the next one reads them again
    Given 300 connections that bring 100 steps in each turn
    Then each is read in 10 of 200 turns at least, and no turn brings more than 2100 steps

  Scenario: a new connection is not read before its turn
    Then a connection that is paused on arrival delivers its request only after it is resumed

  # Guards against bodies in tiny chunks that keep the processor busy for minutes, and against a refusal in calm.
  Scenario Outline: a body of 200 tiny chunks is <outcome> while <waiting> others wait
    Then a body of 200 tiny chunks is <outcome> where 100 are allowed and <waiting> of 2 wait

    Examples:
      | waiting | outcome  |
      | 2       | refused  |
      | 1       | complete |

  # Guards against callers that are sent to VMs without memory or connections, and against VMs that are left out for ever.
  Scenario Outline: <refusing> of <count> VMs refuse and the directory lists <listed>
    Given <count> VMs of which the first <refusing> refuse
    When 3 s pass
    Then the directories of all VMs list <listed>
    And the refusals take at most 1000 bytes in a report
    When the VMs that refuse are cut off for 3 s
    Then the directories of the others list all in the same order

    Examples:
      | refusing | count | listed                 |
      | 1        | 3     | only those that accept |
      | 2        | 3     | all, those that accept first |
      | 3        | 3     | all                    |
      | 8        | 89    | only those that accept |
      | 32       | 195   | only those that accept |
