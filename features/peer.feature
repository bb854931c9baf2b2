@peer
Feature: Peer links

  Scenario Outline: <input> is counted as bad input and closes the connection, and requests of other peers are still answered
    Given peer links of vm-1 and vm-2 with the key "first-shared-key"
    When a peer connection sends <input> to vm-1
    Then the peer connection is closed
    And vm-1 counted bad peer input as <reason> and keeps no connection from it
    And a peer request from vm-2 to vm-1 is answered

    Examples:
      | input                            | reason                 |
      | bytes that are not HTTP          | peer_malformed         |
      | a plain HTTP request             | peer_malformed         |
      | a hello that is not JSON         | peer_malformed         |
      | a hello for another VM           | peer_wrong_vm          |
      | a hello of another version       | peer_wrong_version     |
      | a hello larger than a handshake  | peer_oversized         |
      | an endless HTTP header           | peer_malformed         |
      | a proof with an unknown key      | peer_wrong_key         |
      | a proof with an arbitrary MAC    | peer_wrong_key         |
      | nothing                          | peer_handshake_timeout |
      | a frame that is not MessagePack  | peer_malformed         |
      | a frame of an unknown kind       | peer_malformed         |
      | a text frame                     | peer_malformed         |
      | a frame over the size limit      | peer_oversized         |

  Scenario: the number of concurrent handshakes is limited
    Given peer links of vm-1 and vm-2 with the key "first-shared-key"
    When 140 peer connections open to vm-1 without authenticating
    Then vm-1 counted 12 peer connections as peer_too_many_handshakes
    And after the peer handshake timeout a peer request from vm-2 to vm-1 is answered

  Scenario Outline: a request to a peer that is <peer> fails with <error>
    Given peer links of vm-1 and vm-2 with the key "first-shared-key"
    And vm-2 is a peer that is <peer>
    When vm-1 sends a peer request to vm-2
    Then the peer request fails with <error>

    Examples:
      | peer                                   | error            |
      | without a known address                | peer_unreachable |
      | refusing connections                   | peer_unreachable |
      | frozen before the connection opens     | peer_unreachable |
      | replaced at its address by another VM  | peer_unreachable |
      | using another key                      | peer_unreachable |
      | impersonated by a server without a key | peer_unreachable |
      | never answering                        | peer_timeout     |
      | frozen after the connection has opened | peer_timeout     |
      | unable to deliver its answer           | peer_timeout     |
      | closing its links on the request       | peer_timeout     |
      | without a handler                      | peer_rejected    |
      | failing in its handler                 | peer_rejected    |

  Scenario: a silent connection is replaced by a new one
    Given peer links of vm-1 and vm-2 with the key "first-shared-key"
    And vm-2 is a peer that is frozen after the connection has opened
    When vm-1 sends 2 peer requests to vm-2 that time out
    And the peer network is no longer frozen
    Then a peer request from vm-1 to vm-2 is answered

  Scenario: keys are changed without a restart while requests are sent
    Given peer links of vm-1 and vm-2 with the key "first-shared-key"
    When the peer keys are changed step by step to "second-shared-key" during requests
    Then no peer request failed
    And vm-1 refuses a peer with the key "first-shared-key"

  Scenario: a removed key closes the connections that used it
    Given peer links of vm-1 and vm-2 with the key "first-shared-key"
    When vm-1 accepts only the peer key "second-shared-key"
    And vm-1 sends a peer request to vm-2
    Then the peer request fails with peer_unreachable

  Scenario: a peer that does not read is disconnected before its buffered messages exhaust the memory
    Given peer links of vm-1 and vm-2 with the key "first-shared-key"
    When an authenticated peer of vm-1 stops reading while vm-1 sends to it
    Then vm-1 counted the peer failure slow_peer

  Scenario: a message over the size limit is rejected at its sender and the connection stays open
    Given peer links of vm-1 and vm-2 with the key "first-shared-key"
    When vm-1 sends a peer request to vm-2 that is over the size limit
    Then the peer request fails with peer_rejected
    And a peer request from vm-1 to vm-2 is answered

  Scenario: two VMs that connect to each other at the same time use one connection
    Given peer links of vm-1 and vm-2 with the key "first-shared-key"
    When vm-1 and vm-2 send peer requests to each other at the same time
    Then later peer requests of both time out when the connection that vm-1 opened is frozen

  Scenario: a new run of a VM closes the connections of the earlier run
    Given peer links of vm-1 and vm-2 with the key "first-shared-key"
    When a new run of vm-2 connects while a peer request to the earlier run is pending
    Then the peer request fails with peer_timeout
    And vm-1 counted the peer failure replaced_boot

  Scenario Outline: with TLS, a peer <peer> is <result>
    Given peer links of vm-1 and vm-2 over TLS
    When vm-1 sends a TLS peer request to a vm-2 <peer>
    Then the TLS peer request is <result>

    Examples:
      | peer                                  | result   |
      | with a certificate from the authority | answered |
      | with a self-signed certificate        | refused  |
      | without TLS                           | refused  |

  Scenario: the peer frame decoder handles arbitrary input
    Then the peer frame decoder returns only valid frames or nothing, for random bytes and for corrupted frames with seed 20261204

  # Guards against an answer that is taken for that to another request on the same connection.
  Scenario Outline: a peer request gets its own answer when a second answer to the one before arrives <moment>
    Given peer links of vm-1 and vm-2 with the key "first-shared-key"
    And vm-9 is a peer that sends a second answer to the first request <moment>
    When vm-1 sends 3 peer requests to vm-9 one after the other
    Then each of the peer requests has got its own answer over one connection

    Examples:
      | moment                               |
      | with the first answer                |
      | 2 s after the first answer           |
      | in the same turn as the next request |
      | right after the next request         |
      | after the time-out of the first      |
