Feature: Every refusal is typed and says truthfully that the request was not run
  The response body must state the cause of the refusal, the remedy, and whether the request may
  have had an effect.

  Scenario Outline: <fault>
    Given a running deployment
    When the caller sends <fault>
    Then it is refused with status <status> and kind "<kind>", as not run
    And no target has seen it

    Examples:
      | fault                                  | status | kind              |
      | broken JSON                            | 400    | bad_request       |
      | a body that is no object               | 400    | bad_request       |
      | a program with a negative budget       | 400    | bad_request       |
      | an identity of a wrong form            | 400    | bad_request       |
      | an oversized body                      | 413    | payload_too_large |
      | a call of an unknown service           | 404    | unknown_service   |
      | a call of an unknown model             | 404    | unknown_service   |
      | a call without a key                   | 401    | unauthenticated   |
      | a call with a wrong key                | 401    | unauthenticated   |
      | a call with a withdrawn key            | 401    | key_withdrawn     |
      | a read of an unknown program           | 404    | unknown_program   |
      | a resume of an unknown request         | 404    | unknown_request   |
      | another body under a used identity     | 409    | identity_conflict |
      | another history than the recorded one  | 409    | history_mismatch  |

    @known-red
    Examples:
      | fault                                  | status | kind              |
      | a call in a program of another workspace | 404  | unknown_program   |
