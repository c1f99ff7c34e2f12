#include "overload/return_book.h"
