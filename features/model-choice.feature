Feature: Choice of models on the forwarding path

  # Guards against poor answers that are kept because the retries for better ones have run out, and against buying the
  # better answers with the largest model for all.
  Scenario Outline: <vms> VMs before engines with <slots> slots give good answers at a cost near the optimum
    Given a served model workload of <vms> VMs, engines with <slots> slots and informative confidence
    Then its good share is at least 0.96 and its cost ratio at most 1.3

    Examples:
      | vms | slots |
      | 8   | 16    |
      | 8   | 24    |
      | 79  | 16    |
      | 79  | 64    |

  # Guards against hopeless answers that are kept for lack of a retry.
  Scenario: requests start with the largest model while retries are short
    Given a hard model workload of 79 VMs, engines with 24 slots and informative confidence
    Then its kept hopeless share is at most 0.05, and more with the smallest model always first

  # Guards against an uncertain answer that takes the last retry just before a hopeless one needs it.
  Scenario: the last retries are kept for the least confident answers
    Given a hard model workload of 79 VMs, engines with 24 slots and informative confidence
    Then with the smallest model always first, fewer hopeless answers are kept than with a fixed threshold

  # Guards against long prompts that fill the engines while shorter ones would save the retries as well.
  Scenario: requests that cost the engines little start with the largest model
    Given a hard model workload of 79 VMs, engines with 24 slots and informative confidence
    Then the share of tags that start with the largest model is over 4 times that of long requests

  # Guards against a confidence that says nothing about the quality and still decides which answers are discarded.
  Scenario Outline: <vms> VMs do not escalate by a confidence that is <confidence>
    Given a served model workload of <vms> VMs, engines with 24 slots and <confidence> confidence
    Then its good share is at least 0.8 and its escalated share at most 0.2

    Examples:
      | vms | confidence    |
      | 8   | uninformative |
      | 8   | inverted      |
      | 79  | uninformative |
      | 79  | inverted      |

  # Guards against answers that nearly all are discarded, and against the largest model for requests that do not need it.
  Scenario Outline: the largest model answers at least <min> and at most <max> of <difficulty> requests first
    Given a <difficulty> model workload of 79 VMs, engines with 24 slots and informative confidence
    Then its largest first share is at least <min> and its largest first share at most <max>

    Examples:
      | difficulty | min | max |
      | hopeless   | 0.5 | 0.9 |
      | easy       | 0   | 0   |

  # Guards against a choice that ignores the state of the engines, and against one that swings with the load it causes.
  Scenario Outline: at a mean load of <load> with <slots> slots, <ms> ms after a load of <before>, a request starts with the <model> model
    Given a model choice without retries that has seen 20 poor and 0 good answers of the small model
    When the mean load of engines with <slots> slots is <before>, and <load> after <ms> ms
    Then a request starts with the <model> model

    Examples:
      | slots | before | load | ms   | model |
      | 16    | 0      | 4    | 0    | large |
      | 16    | 0      | 9.7  | 0    | small |
      | 24    | 0      | 9.7  | 0    | large |
      | 24    | 0      | 14.5 | 0    | small |
      | 64    | 0      | 14.5 | 0    | large |
      | 64    | 16     | 0    | 100  | small |
      | 64    | 16     | 0    | 4000 | large |

  # Guards against the largest model for requests whose answers would be good, and against a choice that is never reviewed.
  Scenario Outline: after <poor> poor and <good> good answers, a draw of <point> starts with the <model> model
    Given a model choice without retries that has seen <poor> poor and <good> good answers of the small model and draws <point>
    Then a request starts with the <model> model

    Examples:
      | poor | good | point | model |
      | 20   | 0    | 0.95  | small |
      | 2    | 18   | 0.05  | large |
      | 2    | 18   | 0.5   | small |
      | 2    | 0    | 0     | small |

  # Guards against late first events and against answers that are lost at the time limit.
  Scenario Outline: a large model that takes <first> ms to its first event and <end> ms in all
    Given a model choice without retries that has seen 20 poor and 0 good answers of the small model
    When the large model takes <first> ms to its first event and <end> ms in all, and <ms> ms pass
    Then a request starts with the <model> model
    And a poor answer with 2000 ms left is judged <verdict> while retries are left

    Examples:
      | first | end  | ms     | model | verdict        |
      | 100   | 1000 | 0      | large | low_confidence |
      | 900   | 1000 | 0      | small | low_confidence |
      | 100   | 1800 | 0      | large | no_time        |
      | 900   | 1800 | 10001  | large | low_confidence |

  Scenario: any choice keeps to the models of the request, and a more confident answer is kept if a less confident one is
    Then the model choice has its properties for any requests, loads and retries
