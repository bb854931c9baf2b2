Feature: Operator API

  Scenario Outline: an operator call is refused: <case>
    Given an operator API with operator ana and Model/m
    When an operator sends <method> <path> as <caller> with If-Match <if-match> and body <body>
    Then the operator answer is <status> with error <type>
    And the operator error message contains <text>

    Examples:
      | case                   | method | path                          | caller   | if-match | body                                                                  | status | type            | text                            |
      | no key                 | GET    | /kinds                        | nobody   | none     | none                                                                  | 401    | unauthenticated | key                             |
      | wrong key              | GET    | /kinds                        | mallory  | none     | none                                                                  | 401    | unauthenticated | key                             |
      | expired key            | GET    | /kinds                        | old      | none     | none                                                                  | 401    | key_expired     | expired                         |
      | update, no revision    | PUT    | /objects/Model/m              | ana      | none     | {"tier":1}                                                            | 409    | config_conflict | it is at revision 2             |
      | update of old revision | PUT    | /objects/Model/m              | ana      | "1"      | {"tier":1}                                                            | 409    | config_conflict | it is at revision 2             |
      | update, no such object | PUT    | /objects/Model/x              | ana      | "1"      | {"tier":1}                                                            | 409    | config_conflict | does not exist                  |
      | bad If-Match           | PUT    | /objects/Model/m              | ana      | x        | {"tier":1}                                                            | 400    | bad_request     | If-Match                        |
      | body that is not JSON  | PUT    | /objects/Model/m              | ana      | "2"      | {                                                                     | 400    | bad_request     | JSON                            |
      | empty body             | PUT    | /objects/Model/m              | ana      | "2"      | null                                                                  | 400    | bad_request     | expected record                 |
      | invalid field          | PUT    | /objects/Model/m              | ana      | "2"      | {"tier":"x"}                                                          | 422    | config_invalid  | Model/m tier                    |
      | unknown kind           | GET    | /objects/Nope                 | ana      | none     | none                                                                  | 404    | config_not_found | no kind Nope                   |
      | get, no such object    | GET    | /objects/Model/x              | ana      | none     | none                                                                  | 404    | config_not_found | Model/x does not exist         |
      | delete, no revision    | DELETE | /objects/Model/m              | ana      | none     | none                                                                  | 409    | config_conflict | it is at revision 2             |
      | unknown data centre    | POST   | /changes                      | ana      | none     | {"changes":[{"kind":"VirtualMachine","name":"v","spec":{"dataCentre":"no"}}]} | 422 | config_invalid | names DataCentre/no          |
      | drain, no such object  | POST   | /drain                        | ana      | none     | {"kind":"DataCentre","name":"no"}                                     | 404    | config_not_found | DataCentre/no does not exist   |
      | drain of a model       | POST   | /drain                        | ana      | none     | {"kind":"Model","name":"m"}                                           | 400    | bad_request     | kind                            |
      | no trace of request    | GET    | /explain/req-1                | ana      | none     | none                                                                  | 404    | not_found       | req-1                           |
      | bad revision           | GET    | /in-force?revision=x          | ana      | none     | none                                                                  | 400    | bad_request     | revision                        |

  Scenario Outline: an operator API without operators allows only loopback callers, and only to create the first operator: <case>
    Given an operator API without operators
    When an operator at <address> without a key sends <method> <path>
    Then the operator answer is <status>

    Examples:
      | case                 | address   | method | path                  | status |
      | first operator       | 127.0.0.1 | PUT    | /objects/Operator/ana | 200    |
      | remote caller        | 10.0.0.9  | PUT    | /objects/Operator/ana | 401    |
      | another kind         | 127.0.0.1 | PUT    | /objects/Model/m      | 403    |
      | several changes      | 127.0.0.1 | POST   | /changes              | 403    |
      | reading              | 127.0.0.1 | GET    | /kinds                | 403    |

  Scenario: an operator API with an operator refuses loopback callers without a key
    Given an operator API without operators
    When an operator at 127.0.0.1 without a key sends PUT /objects/Operator/ana
    And an operator at 127.0.0.1 without a key sends PUT /objects/Operator/eve
    Then the operator answer is 401

  Scenario: an operator checks, changes, rolls out, withdraws, drains and restores objects, and cannot delete a referenced one
    Given an operator API with operator ana and Model/m
    Then operator ana sends these calls in order and receives the expected responses
      | method | path                           | if-match | body                                                                                                                                     | status | response contains              |
      | POST   | /check                         | none     | {"changes":[{"kind":"Model","name":"m","spec":{"tier":4},"resourceVersion":2}]}                                                          | 200    | "path":"tier","before":0,"after":4 |
      | PUT    | /objects/Model/m               | "2"      | {"tier":4}                                                                                                                               | 200    | "resourceVersion":3            |
      | GET    | /objects/Model                 | none     | none                                                                                                                                     | 200    | "tier":4                       |
      | POST   | /changes                       | none     | {"changes":[{"kind":"Version","name":"m-1","spec":{"model":"m","inputMicrosPerToken":1,"outputMicrosPerToken":1}},{"kind":"Version","name":"m-2","spec":{"model":"m","inputMicrosPerToken":1,"outputMicrosPerToken":1}},{"kind":"DataCentre","name":"dc","spec":{"region":"r"}}]} | 200 | "name":"m-2" |
      | POST   | /rollouts                      | none     | {"name":"r1","model":"m","from":"m-1","to":"m-2"}                                                                                        | 201    | "state":"running"              |
      | POST   | /versions/m-2/withdraw         | none     | none                                                                                                                                     | 200    | "changed":true                 |
      | POST   | /versions/m-2/withdraw         | none     | none                                                                                                                                     | 200    | "changed":false                |
      | POST   | /drain                         | none     | {"kind":"DataCentre","name":"dc"}                                                                                                        | 200    | "changed":true                 |
      | GET    | /objects/DataCentre/dc         | none     | none                                                                                                                                     | 200    | "state":"out_of_service"       |
      | POST   | /restore                       | none     | {"kind":"DataCentre","name":"dc"}                                                                                                        | 200    | "changed":true                 |
      | POST   | /drain                         | none     | {"kind":"VirtualMachine","name":"a1"}                                                                                                    | 200    | "changed":true                 |
      | GET    | /objects/VirtualMachine/a1     | none     | none                                                                                                                                     | 200    | "state":"leaving"              |
      | POST   | /drain                         | none     | {"kind":"VirtualMachine","name":"b9"}                                                                                                    | 404    | config_not_found               |
      | GET    | /in-force?revision=3           | none     | none                                                                                                                                     | 200    | "in_force":["a1"],"missing":[] |
      | GET    | /status                        | none     | none                                                                                                                                     | 200    | "ok":true                      |
      | DELETE | /objects/Model/m               | "3"      | none                                                                                                                                     | 422    | cannot be deleted while Version/m-1 names it |

  Scenario: an operator drain succeeds although another operator changed the object in the meantime
    Given an operator API with operator ana and Model/m
    And another client changed DataCentre/dc and the VM of the operator API has not received the change
    When an operator sends POST /drain as ana with If-Match none and body {"kind":"DataCentre","name":"dc"}
    Then the operator answer is 200
    And DataCentre/dc is out of service and keeps the change of the other client

  Scenario Outline: an operator call reports the run state <run> when the object API has <fault>
    Given an operator API with operator ana and Model/m
    And the object API of the operator API has <fault>
    When an operator sends PUT /objects/Model/m as ana with If-Match "2" and body {"tier":1}
    Then the operator answer is <status> with error <type>
    And the operator error has the run state <run>

    Examples:
      | fault         | status | type                   | run          |
      | an outage     | 503    | config_unavailable     | not_run      |
      | a lost answer | 504    | config_outcome_unknown | may_have_run |
